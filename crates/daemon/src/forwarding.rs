//! Requests that another VM serves, because this VM has lost its links to the endpoints.
//!
//! The request is offered to a peer over the port for peers, and follows as HTTP if the peer accepts.
//! The peer admits it like a request of its own callers and makes all further decisions, so that what
//! endpoints say of themselves reaches the VM that sends to them. It does not forward the request
//! again. The response is relayed as it arrives; closing the connection ends the work at the peer.

use crate::call::Call;
use crate::caller_limits::RequestGuard;
use crate::context::Context;
use crate::ingress;
use crate::peer_sync::{FramedStream, codec, read_frame};
use crate::placing::{EndpointConnection, LinkUse, QueueUse};
use crate::reply::{RelayedBody, Reply, ReplyBody, is_not_run_refusal, refusal_reason};
use bytes::Bytes;
use futures_util::SinkExt;
use gypsumchute_exchange::{Connection, ResponseStream, TcpTimeouts, set_tcp_timeouts};
use gypsumchute_fleet::PeerAddress;
use gypsumchute_fleet::messages::{self, ForwardAnswer, ForwardOffer, PullRequest};
use gypsumchute_platform::{ResponseKind, classify_response, endpoints};
use gypsumchute_routing::endpoint_links::{ConnectFailure, LinksWork};
use gypsumchute_routing::outcomes::RequestOutcome;
use gypsumchute_routing::stream_versions::ServiceVersion;
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{
    EndpointId, Fingerprint, Refusal, RefusalReason, ServiceId, promises_not_run,
};
use http::{Response, StatusCode};
use log::{info, warn};
use prost::Message;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for a peer's answer to an offer, including the connection, in milliseconds. Another peer
/// is asked after that.
const OFFER_TIMEOUT_MS: u64 = 200;
/// Maximum number of peers that a request is offered to.
const MAX_OFFERS: usize = 3;
/// Time after the deadline of a request within which the peer's reply may still arrive, in
/// milliseconds.
const REPLY_GRACE_MS: u64 = 100;
/// Timeout for the connection that checks whether the links to endpoints are back, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 150;

/// Where a request runs.
pub enum Placed {
    /// This VM sends it to an endpoint.
    Direct(EndpointConnection),
    /// Another VM serves it, and this is the beginning of the reply.
    Forwarded(Reply),
    /// It was handed to another VM, which sent no reply. The request may have run.
    ForwardLost,
}

/// Origin of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller sent it to this VM.
    Caller,
    /// Another VM forwarded it.
    Peer(PeerOffer),
}

/// What another VM says of a request that it forwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerOffer {
    /// Maximum number of endpoints that may run the request.
    pub max_endpoints: u32,
    /// Run of the request that goes on at an engine, if there is one.
    pub continued_run: Option<ContinuedRun>,
}

/// A run that goes on at an engine to which the VM that began it has lost its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContinuedRun {
    /// Engine of the run.
    pub endpoint: EndpointId,
    /// Service and software version that began the stream.
    pub version: ServiceVersion,
    /// Id of the last event that the caller has received.
    pub last_event_id: u64,
    /// Number of events that the caller has received.
    pub events: u64,
}

impl ContinuedRun {
    /// Encodes the run for an offer.
    fn encode(&self) -> messages::ContinuedRun {
        messages::ContinuedRun {
            endpoint: self.endpoint.to_string(),
            version: self.version.0.0,
            last_event_id: self.last_event_id,
            events: self.events,
        }
    }

    /// Decodes the run of an offer.
    ///
    /// # Errors
    ///
    /// Returns an error if the id of the engine is invalid.
    fn decode(run: &messages::ContinuedRun) -> io::Result<Self> {
        let &messages::ContinuedRun { version, last_event_id, events, .. } = run;
        let endpoint = run.endpoint.parse().map_err(io::Error::other)?;
        let version = ServiceVersion(Fingerprint(version));
        Ok(ContinuedRun { endpoint, version, last_event_id, events })
    }
}

/// What became of a run that was handed to peers.
pub enum Handover {
    /// A peer continues it at another engine. Contains the stream of what follows the events that the
    /// caller has.
    Continued(ResponseStream),
    /// It goes on at its engine: no peer has stopped it, or will.
    NotTaken,
    /// A peer may have stopped it, and may be continuing it at another engine.
    Unknown,
}

impl Call {
    /// Connects to an endpoint, or hands the request to another VM if this VM's links to the endpoints
    /// fail. `max_endpoints` endpoints may still run the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if neither is possible. Nothing was sent.
    pub async fn place_or_forward(
        &self,
        excluded: &BTreeSet<EndpointId>,
        version: Option<ServiceVersion>,
        max_endpoints: u32,
    ) -> Result<Placed, Refusal> {
        let may_forward = self.origin == Origin::Caller && max_endpoints > 0;
        let mut excluded = excluded.clone();
        if may_forward {
            match self
                .place_and_connect(&mut excluded, version, LinkUse::UnlessLost, QueueUse::Wait)
                .await
            {
                Ok(placed) => return Ok(Placed::Direct(placed)),
                Err(unplaced) if !unplaced.links_failed => return Err(unplaced.refusal),
                Err(_) => {}
            }
            if let Some(forwarded) = self.forward(max_endpoints).await {
                return Ok(forwarded);
            }
        }
        let links = match (&self.origin, max_endpoints) {
            (Origin::Caller, 0) => LinkUse::Always,
            (Origin::Caller, _) | (Origin::Peer(_), _) => LinkUse::AfterOffers,
        };
        let placed = self.place_and_connect(&mut excluded, version, links, QueueUse::Wait).await;
        placed.map(Placed::Direct).map_err(|unplaced| unplaced.refusal)
    }

    /// Hands the request to another VM, or to the next one if that VM does not reach the endpoints
    /// either. Returns `None` if none takes it.
    pub async fn forward(&self, max_endpoints: u32) -> Option<Placed> {
        let offer = self.offer(max_endpoints, None);
        let mut unreachable = None;
        for peer in self.peers_to_ask() {
            let Some(connection) = self.offer_to(&peer, &offer).await else { continue };
            let possible_run = self.possible_runs.begin(max_endpoints);
            let Some(response) = self.send_to_peer(&peer, connection).await else {
                return Some(Placed::ForwardLost);
            };
            let reply = self.relay_response(response);
            if is_not_run_refusal(&reply) {
                possible_run.disprove();
            }
            match refusal_reason(reply.headers()) {
                // With another status, the peer has run the request before it lost its links.
                Some(RefusalReason::NoReachableEndpoint)
                    if reply.status() == StatusCode::SERVICE_UNAVAILABLE =>
                {
                    unreachable = Some(reply);
                }
                _ => return Some(Placed::Forwarded(reply)),
            }
        }
        if unreachable.is_none() {
            self.context.metrics.count_forwarded("no_peer");
        }
        unreachable.map(Placed::Forwarded)
    }

    /// Returns the peer's response as the reply to the caller.
    fn relay_response(&self, response: ResponseStream) -> Reply {
        let (status, headers) = (response.head.status, &response.head.headers);
        let headers = endpoints::response_headers(headers);
        let limit = Duration::from_millis(self.remaining_ms() + REPLY_GRACE_MS);
        let body = RelayedBody::new(response, limit, self.id(), &self.context.metrics);
        let mut reply = Response::new(ReplyBody::Relayed(Box::new(body)));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        reply
    }

    /// Has another VM move `run` to another engine. A peer that has taken the run answers within
    /// `limit`.
    pub async fn continue_at_peer(&self, run: &ContinuedRun, limit: Duration) -> Handover {
        let offer = self.offer(1, Some(run));
        for peer in self.peers_to_ask() {
            let Some(connection) = self.offer_to(&peer, &offer).await else { continue };
            let Ok(Some(response)) = timeout(limit, self.send_to_peer(&peer, connection)).await
            else {
                return Handover::Unknown;
            };
            let http::response::Parts { status, headers, .. } = &response.head;
            let request_id = self.caller.request_id.as_ref();
            match refusal_reason(headers) {
                Some(RefusalReason::NoReachableEndpoint) => {}
                Some(_) if promises_not_run(status.as_u16()) => return Handover::NotTaken,
                Some(_) => return Handover::Unknown,
                None => match classify_response(*status, headers, request_id) {
                    ResponseKind::Success => return Handover::Continued(response),
                    _ => return Handover::Unknown,
                },
            }
        }
        Handover::NotTaken
    }

    /// Returns the offer of this request to a peer.
    fn offer(&self, max_endpoints: u32, run: Option<&ContinuedRun>) -> ForwardOffer {
        let service = self.service.id.to_string();
        ForwardOffer { max_endpoints, service, continued_run: run.map(ContinuedRun::encode) }
    }

    /// Returns the peers that the request is offered to, in order.
    fn peers_to_ask(&self) -> Vec<PeerAddress> {
        let mut peers = self.context.with(|state| {
            let members = &state.members;
            members.forwarding_targets(boot_now(), &self.service.id, &self.zones, &mut state.rng)
        });
        peers.truncate(MAX_OFFERS);
        peers
    }

    /// Offers the request to `peer`. Returns the connection if the peer accepts.
    async fn offer_to(&self, peer: &PeerAddress, offer: &ForwardOffer) -> Option<Connection> {
        let limit = Duration::from_millis(OFFER_TIMEOUT_MS.min(self.remaining_ms()));
        match timeout(limit, send_offer(peer, offer)).await {
            Ok(Ok(stream)) => {
                info!(request = self.id(), fingerprint:% = self.fingerprint,
                    vm = peer.vm.as_str(), zone = peer.zone.as_str(),
                    waited_ms = boot_now().since(self.arrived_ms),
                    continues_run = offer.continued_run.is_some();
                    "request handed to peer VM");
                Some(Connection::from(stream))
            }
            Ok(Err(err)) => {
                info!(request = self.id(), vm = peer.vm.as_str(), error:% = err;
                    "peer VM does not take the request");
                None
            }
            Err(_) => {
                info!(request = self.id(), vm = peer.vm.as_str();
                    "peer VM did not answer the offer of a request in time");
                None
            }
        }
    }

    /// Sends the request to a peer that has accepted it, and waits for the head of the response.
    /// Returns `None` if there is none; the request may have run.
    async fn send_to_peer(
        &self,
        peer: &PeerAddress,
        connection: Connection,
    ) -> Option<ResponseStream> {
        let remaining_ms = self.remaining_ms();
        let request = endpoints::build_peer_request(
            &self.method,
            &self.uri,
            &self.headers,
            self.body.clone(),
            remaining_ms,
        );
        let limit = Duration::from_millis(remaining_ms + REPLY_GRACE_MS);
        let error = match timeout(limit, connection.send(request)).await {
            Ok(Ok(response)) => {
                self.context.metrics.count_forwarded("answered");
                return Some(response);
            }
            Ok(Err(err)) => err.to_string(),
            Err(_) => "no reply before the deadline".to_owned(),
        };
        self.context.metrics.count_forwarded("lost");
        info!(request = self.id(), vm = peer.vm.as_str(), error;
            "peer VM sent no reply to the request");
        None
    }
}

/// Sends `offer` to `peer`. Returns the connection if the peer accepts.
async fn send_offer(peer: &PeerAddress, offer: &ForwardOffer) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(SocketAddr::V4(peer.address)).await?;
    set_tcp_timeouts(&stream, TcpTimeouts::Long)?;
    let mut framed = Framed::new(stream, codec());
    let offer = PullRequest { forward: Some(offer.clone()), ..PullRequest::default() };
    framed.send(Bytes::from(offer.encode_to_vec())).await?;
    let answer = ForwardAnswer::decode(read_frame(&mut framed).await?).map_err(io::Error::other)?;
    match answer.accepted {
        // The peer sends nothing before the request, so that no byte is left in the buffer.
        true => Ok(framed.into_inner()),
        false => Err(io::Error::other("declined")),
    }
}

/// A request that a peer is about to send on an open connection.
pub struct ForwardedRequest {
    stream: TcpStream,
    offer: PeerOffer,
    request: RequestGuard,
}

impl ForwardedRequest {
    /// Answers the offer of a request. Returns the request if this VM takes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn accept(
        context: &Context,
        mut framed: FramedStream,
        offer: ForwardOffer,
    ) -> io::Result<Option<Self>> {
        let run = offer.continued_run.as_ref().map(ContinuedRun::decode).transpose()?;
        let may_serve = context.with(|state| {
            let service = offer.service.parse();
            let reaches_it = service.is_ok_and(|service| !state.links.are_lost(&service));
            state.table.is_some() && reaches_it
        });
        let request = context.limits.begin_request().filter(|_| may_serve);
        let request = request.filter(|_| !context.shutdown.has_begun());
        let accepted = request.is_some();
        context.metrics.count_forwarded(if accepted { "accepted" } else { "declined" });
        framed.send(Bytes::from(ForwardAnswer { accepted }.encode_to_vec())).await?;
        let offer = PeerOffer { max_endpoints: offer.max_endpoints, continued_run: run };
        Ok(request.map(|request| ForwardedRequest { stream: framed.into_inner(), offer, request }))
    }

    /// Serves the request.
    pub async fn serve(self, context: Rc<Context>) {
        let origin = Origin::Peer(self.offer);
        ingress::serve_forwarded(context, self.stream, origin, self.request).await;
    }
}

impl Context {
    /// Reports whether this VM has lost its links to the endpoints of `service`.
    pub fn is_cut_off(&self, service: &ServiceId) -> bool {
        self.with(|state| state.links.are_lost(service))
    }

    /// Records that a connection to an endpoint of `service` was established. Connections that failed just before
    /// then count against their endpoints.
    pub fn record_connected(&self, service: &ServiceId) {
        let now = boot_now();
        let (were_lost, suspects) = self.with(|state| {
            let LinksWork { were_lost, unreachable } = state.links.on_connected(now, service);
            let outcomes = &mut state.outcomes;
            let suspects: Vec<_> = unreachable
                .into_iter()
                .filter(|endpoint| outcomes.confirm_unreachable(now, endpoint))
                .collect();
            (were_lost, suspects)
        });
        if were_lost {
            info!(service = service.as_str(); "links to the endpoints are back");
            self.heartbeat_due.notify_one();
        }
        suspects.iter().for_each(|endpoint| self.queue_note(endpoint));
    }

    /// Records that a connection to `endpoint` of `service` could not be established.
    pub fn record_connect_failed(&self, service: &ServiceId, endpoint: &EndpointId) {
        let now = boot_now();
        let failure = self.with(|state| {
            let in_service = state.endpoints.iter_in_service(service).count();
            state.links.on_connect_failed(now, service, endpoint, in_service)
        });
        // Also held against the endpoint while the links seem to be lost: most endpoints may be gone
        // instead, and the others are then to be found.
        self.record_outcome(endpoint, RequestOutcome::ConnectFailed);
        match failure {
            ConnectFailure::Unexplained | ConnectFailure::LinksStillLost => {}
            ConnectFailure::LinksLost { failed_endpoints } => {
                warn!(service = service.as_str(), failed_endpoints;
                    "links to the endpoints are lost; peer VMs serve the requests");
                self.heartbeat_due.notify_one();
            }
        }
    }

    /// Checks in the background whether a connection to an endpoint can be established again, for each
    /// service whose links are lost.
    pub fn probe_links(self: &Rc<Self>) {
        let probes: Vec<_> = self.with(|state| {
            let endpoints = &state.endpoints;
            let choose = |service: &ServiceId, rng: &mut StdRng| {
                let addresses = endpoints.iter_in_service(service).map(|e| e.entry.address);
                addresses.choose(rng).map(|address| (service.clone(), address))
            };
            let lost = state.links.lost_services();
            lost.filter_map(|service| choose(service, &mut state.rng)).collect()
        });
        for (service, address) in probes {
            let context = self.clone();
            spawn_local(async move {
                if context.access.is_reachable(address, PROBE_TIMEOUT_MS).await {
                    context.record_connected(&service);
                }
            });
        }
    }
}
