//! Starts real processes on loopback and speaks to them as callers, endpoints and operators do.

use attohttpc::{Method, ProxySettings, RequestBuilder};
use gypsumchute::core::VmPlan;
use gypsumchute::util::ports::free_address;
use gypsumchute_config::KeyHash;
use gypsumchute_standins::platform::{ListedVm, Platform};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::{NamedTempFile, TempDir};

pub const SALT: &str = "test-salt";
const START_WAIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// A process that ends when this is dropped. What it writes to standard error is kept, and a
/// panic in it fails the test.
pub struct Process {
    child: Child,
    log: NamedTempFile,
}

impl Process {
    pub fn start(binary: &str, args: &[&str]) -> Self {
        let log = NamedTempFile::new().expect("a file for the log");
        let errors = log.reopen().expect("the log can be written");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .expect("the binary starts");
        Process { child, log }
    }

    fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let done = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(done.success(), "kill {name} failed");
    }

    /// Its number, for reading what it uses.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process in its tracks.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Whether the process ends within `wait`.
    pub fn ends_within(&mut self, wait: Duration) -> bool {
        wait_until(wait, || matches!(self.child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let log = fs::read_to_string(self.log.path()).unwrap_or_default();
        if !thread::panicking() {
            assert!(!log.contains("panicked"), "{log}");
        } else if std::env::var_os("GYPSUMCHUTE_TEST_LOGS").is_some() {
            eprintln!("{log}");
        }
    }
}

/// Waits until `condition` holds; false where it does not in time.
pub fn wait_until(wait: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + wait;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(POLL);
    }
    condition()
}

/// One VM's two processes.
pub struct Vm {
    pub plan: VmPlan,
    pub control: Process,
    pub entry: Process,
}

/// A fleet of real processes behind a platform that the test drives.
pub struct Fleet {
    pub platform: Platform,
    pub vms: Vec<Vm>,
    folder: TempDir,
}

/// An answer to a call.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub headers: BTreeMap<String, String>,
}

impl Answer {
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("")
    }

    pub fn verdict(&self) -> &str {
        self.body["error"]["verdict"].as_str().unwrap_or("")
    }
}

impl Fleet {
    /// VMs in these zones, one for each name given, with the configuration in `files`.
    pub fn start(zones: &[&str], files: BTreeMap<String, String>) -> Self {
        Self::start_with(zones, files, |plans| plans.iter().map(VmPlan::listed).collect())
    }

    /// As [`Fleet::start`], with a list of VMs made by `list`.
    pub fn start_with(
        zones: &[&str],
        files: BTreeMap<String, String>,
        list: impl Fn(&[VmPlan]) -> Vec<ListedVm>,
    ) -> Self {
        let platform = Platform::start(free_address().unwrap()).unwrap();
        platform.publish(files, Vec::new());
        let plans: Vec<VmPlan> = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| {
                let vm = format!("vm-{}", number + 1).parse().unwrap();
                VmPlan::new(vm, zone.parse().unwrap()).unwrap()
            })
            .collect();
        platform.list(list(&plans));
        let folder = TempDir::new().unwrap();
        let mut fleet = Fleet { platform, vms: Vec::new(), folder };
        for plan in plans {
            let control = fleet.start_control(&plan);
            let entry = fleet.start_entry(&plan);
            fleet.vms.push(Vm { plan, control, entry });
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts the control process of a VM.
    pub fn start_control(&self, plan: &VmPlan) -> Process {
        let settings = json!(plan.control_settings(self.platform.address(), false));
        let path = self.folder.path().join(format!("{}-control.json", plan.vm));
        fs::write(&path, settings.to_string()).unwrap();
        Process::start(env!("CARGO_BIN_EXE_gypsumchute-control"), &[path.to_str().unwrap()])
    }

    /// Starts the entry process of a VM.
    pub fn start_entry(&self, plan: &VmPlan) -> Process {
        let settings = json!(plan.entry_settings());
        let path = self.folder.path().join(format!("{}-entry.json", plan.vm));
        fs::write(&path, settings.to_string()).unwrap();
        Process::start(env!("CARGO_BIN_EXE_gypsumchute-entry"), &[path.to_str().unwrap()])
    }

    /// Waits until every VM serves.
    pub fn wait_ready(&self) {
        for vm in &self.vms {
            let ready = wait_until(START_WAIT, || is_ready(vm.plan.entry_ops));
            assert!(ready, "{} did not become ready", vm.plan.vm);
        }
    }

    /// Callers' port of a VM.
    pub fn at(&self, index: usize) -> SocketAddr {
        self.vms[index].plan.listen
    }

    /// Publishes one more version with these files changed.
    pub fn publish(&self, files: BTreeMap<String, String>) -> u64 {
        self.platform.publish(files, Vec::new())
    }

    /// Waits until every VM whose control process answers has this version in force.
    pub fn wait_version(&self, version: u64, wait: Duration) -> bool {
        wait_until(wait, || {
            self.vms.iter().all(|vm| config_version(vm.plan.control_ops) == Some(version))
        })
    }
}

/// Whether the platform's balancer would send callers there.
pub fn is_ready(ops: SocketAddr) -> bool {
    let answer = request(Method::GET, ops, "/health/ready", "").send();
    answer.is_ok_and(|answer| answer.is_success())
}

/// The status page of a control process.
pub fn status(ops: SocketAddr) -> Option<Value> {
    request(Method::GET, ops, "/status", "").send().ok()?.json().ok()
}

/// The configuration version in force at a control process.
pub fn config_version(ops: SocketAddr) -> Option<u64> {
    status(ops)?["config_version"].as_u64()
}

/// A call with a key, which may be empty.
pub fn request(method: Method, address: SocketAddr, path: &str, key: &str) -> RequestBuilder {
    let builder = RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(Duration::from_secs(40));
    match key {
        "" => builder,
        key => builder.header("Authorization", format!("Bearer {key}")),
    }
}

fn answer_of(response: attohttpc::Result<attohttpc::Response>) -> Option<Answer> {
    let response = response.ok()?;
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let text = response.text().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(Answer { status, body, headers })
}

/// A generation asked for as a whole; `None` where the connection broke.
pub fn complete(address: SocketAddr, key: &str, model: &str, prompt: &str) -> Option<Answer> {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": 4_000 });
    let call = request(Method::POST, address, "/v1/completions", key).text(body.to_string());
    answer_of(call.send())
}

/// A call of an application route.
pub fn call_app(
    method: Method,
    address: SocketAddr,
    key: &str,
    path: &str,
    idempotency_key: &str,
    body: &str,
) -> Option<Answer> {
    let mut call = request(method, address, path, key);
    if !idempotency_key.is_empty() {
        call = call.header("Idempotency-Key", idempotency_key);
    }
    answer_of(call.text(body.to_owned()).send())
}

/// One event of a stream, with the time at which it arrived.
#[derive(Debug, Clone)]
pub struct StreamEvent {
    pub id: String,
    pub data: String,
    pub at: Instant,
}

/// A stream that is being read.
pub struct Stream {
    lines: Box<dyn BufRead + Send>,
    id: String,
}

impl Stream {
    /// Opens a stream, or gives the refusal.
    pub fn open(
        address: SocketAddr,
        key: &str,
        model: &str,
        prompt: &str,
    ) -> Result<Self, Option<Answer>> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": 4_000, "stream": true });
        let call = request(Method::POST, address, "/v1/completions", key).text(body.to_string());
        Self::of(call.send())
    }

    /// Goes on with a generation behind `last_event_id`.
    pub fn resume(
        address: SocketAddr,
        key: &str,
        generation: &str,
        last_event_id: &str,
    ) -> Result<Self, Option<Answer>> {
        let path = format!("/v1/completions/{generation}");
        let call = request(Method::GET, address, &path, key).header("Last-Event-ID", last_event_id);
        Self::of(call.send())
    }

    fn of(response: attohttpc::Result<attohttpc::Response>) -> Result<Self, Option<Answer>> {
        match response {
            Ok(response) if response.is_success() => {
                let lines = Box::new(BufReader::new(response.split().2));
                Ok(Stream { lines, id: String::new() })
            }
            other => Err(answer_of(other)),
        }
    }

    /// Reads up to `count` events, fewer where the stream ends.
    pub fn read(&mut self, count: usize) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        let mut line = String::new();
        while events.len() < count {
            line.clear();
            match self.lines.read_line(&mut line) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
            if let Some(id) = line.strip_prefix("id: ") {
                self.id = id.trim().to_owned();
            }
            if let Some(data) = line.strip_prefix("data: ") {
                let event = StreamEvent {
                    id: self.id.clone(),
                    data: data.trim().to_owned(),
                    at: Instant::now(),
                };
                events.push(event);
            }
        }
        events
    }

    /// Reads to the end.
    pub fn read_all(&mut self) -> Vec<StreamEvent> {
        self.read(usize::MAX)
    }
}

/// The token's text in an event.
pub fn text_of(event: &StreamEvent) -> String {
    let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
    data["choices"][0]["text"].as_str().unwrap_or("").to_owned()
}

/// The tokens of whole events, `[DONE]` and errors left out.
pub fn tokens_of(events: &[StreamEvent]) -> Vec<String> {
    events.iter().map(text_of).filter(|text| !text.is_empty()).collect()
}

/// Whether the stream said that it is whole.
pub fn is_whole(events: &[StreamEvent]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

/// A customer with one key, as configuration.
pub fn customer(id: &str, key: &str, rate_per_s: f64, burst: u64) -> Value {
    json!({
        "id": id, "rate_per_s": rate_per_s, "burst": burst,
        "keys": [{ "id": "first", "sha256": KeyHash::of(SALT, key) }],
    })
}

/// A customers' file.
pub fn customers_file(customers: &[Value]) -> (String, String) {
    ("20-customers.json".to_owned(), json!({ "customers": customers }).to_string())
}

/// The fleet's, zones' and routes' files that most tests use: model route `survey`, application
/// routes `bookings` and, open to all, `weather`.
pub fn base_files(zones: &[&str]) -> BTreeMap<String, String> {
    let mut unique: Vec<&str> = zones.to_vec();
    unique.sort_unstable();
    unique.dedup();
    let zones: Vec<Value> = unique.iter().map(|zone| json!({ "id": zone })).collect();
    let routes = json!({
        "model_routes": [{ "id": "survey", "max_tokens": 4_000 }],
        "app_routes": [
            { "id": "bookings", "answer_ms": 4_000 },
            { "id": "weather", "open": true },
        ],
    });
    BTreeMap::from([
        ("00-fleet.json".to_owned(), json!({ "fleet": { "key_salt": SALT } }).to_string()),
        ("10-zones.json".to_owned(), json!({ "zones": zones }).to_string()),
        ("30-routes.json".to_owned(), routes.to_string()),
    ])
}

/// An endpoint, as configuration.
pub fn endpoint(id: &str, zone: &str, address: SocketAddr, routes: &[&str]) -> Value {
    json!({ "id": id, "zone": zone, "address": address, "routes": routes })
}

/// An endpoints' file.
pub fn endpoints_file(endpoints: &[Value]) -> (String, String) {
    ("90-endpoints.json".to_owned(), json!({ "endpoints": endpoints }).to_string())
}

/// An engine as a process.
pub fn start_engine(address: SocketAddr, spec: Value) -> Process {
    let binary = env!("CARGO_BIN_EXE_gypsumchute-standin-engine");
    let process = Process::start(binary, &[&address.to_string(), &spec.to_string()]);
    assert!(wait_until(START_WAIT, || TcpStream::connect(address).is_ok()), "engine starts");
    process
}

/// A service as a process.
pub fn start_service(address: SocketAddr, spec: Value) -> Process {
    let binary = env!("CARGO_BIN_EXE_gypsumchute-standin-service");
    let process = Process::start(binary, &[&address.to_string(), &spec.to_string()]);
    assert!(wait_until(START_WAIT, || TcpStream::connect(address).is_ok()), "service starts");
    process
}

/// A page of a stand-in, as JSON.
pub fn standin_page(address: SocketAddr, path: &str) -> Value {
    request(Method::GET, address, path, "").send().unwrap().json().unwrap()
}

/// How often each request ran at a service.
pub fn runs(address: SocketAddr) -> BTreeMap<String, u64> {
    serde_json::from_value(standin_page(address, "/-/runs")).unwrap()
}
