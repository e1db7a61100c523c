//! The only way from this VM to the endpoints. Whatever is sent to an endpoint needs a permit, which is
//! taken here: the endpoint may be cold, brittle, have named a limit or asked for a pause.
//!
//! A new request may be sent elsewhere or wait. A stream that has begun can do so only for a short while,
//! so that a permit that becomes available goes to such a stream first.

use crate::context::{Context, State};
use gypsumchute_exchange::{Connection, Dial, ExchangeError, TcpTimeouts};
use gypsumchute_platform::EndpointSigns;
use gypsumchute_platform::endpoints::{
    CopyError, EndpointReport, KvCopy, ReportError, copy_kv_cache, free_kv_copy, read_report,
};
use gypsumchute_routing::Service;
use gypsumchute_routing::brittle_endpoints::BrittleAdmission;
use gypsumchute_routing::endpoint_rate::{EndpointRateLimiter, SendPermission};
use gypsumchute_units::time::boot_now;
use gypsumchute_units::{BootMs, EndpointId, RequestId, VmId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a permit is asked for again if it is not known when there is one, in milliseconds.
const PERMIT_CHECK_MS: u64 = 50;

/// Opens the connections to endpoints, for those who hold a permit.
pub struct EndpointAccess {
    dialer: Rc<dyn Dial>,
}

impl EndpointAccess {
    /// Opens the connections through `dialer`.
    pub fn new(dialer: Rc<dyn Dial>) -> Self {
        EndpointAccess { dialer }
    }

    /// Reports whether a connection to `address` can be established within `timeout_ms`. Nothing is sent
    /// on it.
    pub async fn is_reachable(&self, address: SocketAddr, timeout_ms: u64) -> bool {
        Connection::open(&*self.dialer, address, timeout_ms, TcpTimeouts::Short).await.is_ok()
    }
}

/// Permission to send one caller's request to an endpoint. It is to be used at once: the endpoint counts
/// the requests that arrive in a second.
#[derive(Debug)]
#[must_use]
pub struct RequestPermit {
    endpoint: EndpointId,
}

impl RequestPermit {
    /// Returns the endpoint that may be sent to.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Connects to the endpoint, which is at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Connection::open`] does.
    pub async fn connect(
        self,
        context: &Context,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Connection, ExchangeError> {
        let dialer = &*context.access.dialer;
        Connection::open(dialer, address, timeout_ms, TcpTimeouts::Long).await
    }
}

/// Permission to send one request of this VM itself to an endpoint.
#[derive(Debug)]
#[must_use]
pub struct ControlPermit(());

impl ControlPermit {
    /// Has the engine at `from` copy a KV cache, as [`copy_kv_cache`] does.
    pub async fn copy_kv_cache(
        self,
        context: &Context,
        from: SocketAddr,
        to: SocketAddr,
        request_id: &RequestId,
        stop: bool,
        timeout_ms: u64,
    ) -> (Result<KvCopy, CopyError>, EndpointSigns) {
        let dialer = &*context.access.dialer;
        copy_kv_cache(dialer, from, to, request_id, stop, timeout_ms).await
    }

    /// Frees a copy that was made from the engine at `source`.
    ///
    /// # Errors
    ///
    /// Returns an error as [`free_kv_copy`] does.
    pub async fn free_kv_copy(
        self,
        context: &Context,
        source: SocketAddr,
        copy: &KvCopy,
        timeout_ms: u64,
    ) -> Result<(), ExchangeError> {
        free_kv_copy(&*context.access.dialer, source, copy, timeout_ms).await
    }

    /// Requests the status report of the endpoint at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error as [`read_report`] does.
    pub async fn read_report(
        self,
        context: &Context,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<EndpointReport, ReportError> {
        read_report(&*context.access.dialer, address, timeout_ms).await
    }
}

/// Why this VM may not send to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateExhausted {
    /// Whether the endpoint has named a limit or a pause. If not, this VM may send as soon as a request
    /// has ended or the cold start is over.
    pub is_named: bool,
    /// Time after which this VM may send a request, in milliseconds; `None` if other VMs use the
    /// whole rate.
    pub wait_ms: Option<u64>,
    /// Time in which the endpoint takes one request from all VMs together, in milliseconds.
    pub interval_ms: u64,
}

/// What a permit is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PermitUse {
    /// A request whose answer has not begun.
    New,
    /// A stream that has begun, and goes on at the endpoint.
    Resumption,
    /// A copy that is made at the endpoint for a stream, which goes on there later.
    PlannedMove,
}

/// How long a stream waits for the permit to go on at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PermitWait {
    /// Until when it waits.
    pub until: Instant,
    /// Whether the stream still goes on elsewhere. It then doesn't wait for what may never come.
    pub has_alternative: bool,
}

/// Rates at which endpoints are used.
#[derive(Debug, Default)]
pub struct EndpointUse {
    /// Limits the requests to endpoints that are cold or have named a limit.
    requests: EndpointRateLimiter,
    /// Limits the copies that are made there for streams.
    planned_moves: EndpointRateLimiter,
    /// Number of streams that wait to go on at each endpoint.
    waiting_streams: BTreeMap<EndpointId, u32>,
}

impl EndpointUse {
    /// Drops what is known of endpoints without a rate.
    pub fn retain(&mut self, has_rate: impl Fn(&EndpointId) -> bool) {
        self.requests.retain(&has_rate);
        self.planned_moves.retain(&has_rate);
    }
}

/// Counts a stream that waits for a permit until dropped.
struct WaitingStream {
    context: Rc<Context>,
    endpoint: EndpointId,
}

impl WaitingStream {
    fn new(context: &Rc<Context>, endpoint: &EndpointId) -> Self {
        context.with(|state| {
            *state.endpoint_use.waiting_streams.entry(endpoint.clone()).or_default() += 1;
        });
        WaitingStream { context: context.clone(), endpoint: endpoint.clone() }
    }
}

impl Drop for WaitingStream {
    fn drop(&mut self) {
        self.context.with(|state| {
            let waiting = &mut state.endpoint_use.waiting_streams;
            if let Some(count) = waiting.get_mut(&self.endpoint) {
                *count -= 1;
                if *count == 0 {
                    waiting.remove(&self.endpoint);
                }
            }
        });
    }
}

impl Context {
    /// Takes permission to send a request of this VM itself to `endpoint`, which may have named a limit
    /// or asked for a pause. Returns `None` if it may not be sent now.
    pub fn acquire_control(&self, endpoint: &EndpointId) -> Option<ControlPermit> {
        let now = boot_now();
        if self.has_pause(endpoint) {
            return None;
        }
        let permission = self.with(|state| {
            let rate = state.named_rate(now, endpoint)?;
            let vms = state.members.known_vms();
            let limiter = &mut state.endpoint_use.requests;
            Some(limiter.try_acquire(now, endpoint, rate, &self.settings.vm, &vms))
        });
        let is_granted = permission.is_none_or(|permission| permission == SendPermission::Granted);
        is_granted.then_some(ControlPermit(()))
    }

    /// Takes permission for a stream that has begun to go on at `endpoint` of `service`. Returns `None`
    /// if there is none in time.
    pub async fn wait_for_permit(
        self: &Rc<Self>,
        service: &Service,
        endpoint: &EndpointId,
        wait: PermitWait,
    ) -> Option<RequestPermit> {
        let acquire = || {
            let vm = &self.settings.vm;
            self.with(|state| {
                state.acquire(boot_now(), endpoint, service, vm, PermitUse::Resumption)
            })
        };
        let mut exhausted = match acquire() {
            Ok(()) => return Some(RequestPermit { endpoint: endpoint.clone() }),
            Err(exhausted) => exhausted,
        };
        let _waiting = WaitingStream::new(self, endpoint);
        loop {
            let known_wait = exhausted.wait_ms.map(Duration::from_millis);
            let left = wait.until.saturating_duration_since(Instant::now());
            if left.is_zero() || (wait.has_alternative && known_wait.is_none_or(|ms| ms > left)) {
                return None;
            }
            let check = Duration::from_millis(PERMIT_CHECK_MS);
            sleep(known_wait.unwrap_or(check).min(check).min(left)).await;
            exhausted = match acquire() {
                Ok(()) => return Some(RequestPermit { endpoint: endpoint.clone() }),
                Err(exhausted) => exhausted,
            };
        }
    }
}

impl State {
    /// Takes permission to send one new request to `endpoint` of `service`.
    ///
    /// # Errors
    ///
    /// Returns what the endpoint takes, if this VM may not send now.
    pub fn acquire_endpoint(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        service: &Service,
        local_vm: &VmId,
    ) -> Result<RequestPermit, RateExhausted> {
        self.acquire(now, endpoint, service, local_vm, PermitUse::New)?;
        Ok(RequestPermit { endpoint: endpoint.clone() })
    }

    /// Takes permission to have a copy made at `endpoint` of `service`, from which a stream is to go on
    /// there. The request that does so takes a permit of its own.
    ///
    /// # Errors
    ///
    /// Returns what the endpoint takes, if so many copies are planned there that the requests would wait.
    pub fn plan_move_to(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        service: &Service,
        local_vm: &VmId,
    ) -> Result<(), RateExhausted> {
        self.acquire(now, endpoint, service, local_vm, PermitUse::PlannedMove)
    }

    /// Takes permission for `permit_use` of `endpoint`.
    fn acquire(
        &mut self,
        now: BootMs,
        endpoint: &EndpointId,
        service: &Service,
        local_vm: &VmId,
        permit_use: PermitUse,
    ) -> Result<(), RateExhausted> {
        if let Some(pause_ms) = self.pause_ms(now, endpoint) {
            let wait_ms = Some(pause_ms);
            return Err(RateExhausted { is_named: true, wait_ms, interval_ms: pause_ms });
        }
        if let Some(brittle) = self.brittle(endpoint) {
            let own_requests = self.loads.local_load(endpoint).requests;
            match self.brittle_backoffs.admission(now, endpoint, brittle, own_requests) {
                BrittleAdmission::Granted => {}
                BrittleAdmission::Full => {
                    return Err(RateExhausted { is_named: false, wait_ms: None, interval_ms: 0 });
                }
                BrittleAdmission::Closed { wait_ms } => {
                    let interval_ms = wait_ms;
                    let wait_ms = Some(wait_ms);
                    return Err(RateExhausted { is_named: true, wait_ms, interval_ms });
                }
            }
        }
        let Some(rate) = self.endpoint_rate(now, endpoint, service.cold_start_rate_per_s) else {
            return Ok(());
        };
        let is_named = self.named_rate(now, endpoint).is_some();
        let interval_ms = rate.interval_ms();
        let vms = self.members.known_vms();
        let limiter = match permit_use {
            PermitUse::New if self.endpoint_use.waiting_streams.contains_key(endpoint) => {
                let wait_ms = Some(interval_ms);
                return Err(RateExhausted { is_named, wait_ms, interval_ms });
            }
            PermitUse::New | PermitUse::Resumption => &mut self.endpoint_use.requests,
            PermitUse::PlannedMove => &mut self.endpoint_use.planned_moves,
        };
        match limiter.try_acquire(now, endpoint, rate, local_vm, &vms) {
            SendPermission::Granted => Ok(()),
            SendPermission::Later { wait_ms } => {
                Err(RateExhausted { is_named, wait_ms: Some(wait_ms), interval_ms })
            }
            SendPermission::OtherVms => Err(RateExhausted { is_named, wait_ms: None, interval_ms }),
        }
    }
}
