//! Starts the real processes on loopback, and sends requests to them as callers and operators do.

use attohttpc::{Method, ProxySettings, RequestBuilder};
use gypsumchute::core::VmPlan;
use gypsumchute::util::ports::free_address;
use gypsumchute_config::KeyHash;
use gypsumchute_standins::platform::{ListedVm, Platform};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::{NamedTempFile, TempDir};

/// Salt of the hashes of API keys in the test configuration.
pub const KEY_SALT: &str = "test-salt";
/// Maximum time until a started process accepts connections or reports that it is ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed on drop.
///
/// The standard error of the process goes to a log file. On drop, a panic message in that log fails
/// the test. If the test has failed already and `GYPSUMCHUTE_TEST_LOGS` is set, the log is printed.
/// If `GYPSUMCHUTE_LOG_DIR` is set, the standard output goes to a file of this folder, named after
/// the last argument and the time of the start.
pub struct Process {
    child: Child,
    log: NamedTempFile,
}

impl Process {
    /// Starts `binary` with `args`.
    pub fn start(binary: &str, args: &[&str]) -> Self {
        Process::start_with_stdout(binary, args, stdout_of(args))
    }

    /// Starts `binary` with `args` and this standard output.
    fn start_with_stdout(binary: &str, args: &[&str], stdout: Stdio) -> Self {
        let log = NamedTempFile::new().expect("a log file can be created");
        let stderr = log.reopen().expect("the log file can be opened again");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .expect("the binary can be started");
        Process { child, log }
    }

    /// Starts `binary` with `args`. The second value is its standard output, which is a pipe.
    pub fn start_piped(binary: &str, args: &[&str]) -> (Self, ChildStdout) {
        let mut process = Process::start_with_stdout(binary, args, Stdio::piped());
        let stdout = process.child.stdout.take().expect("the standard output is a pipe");
        (process, stdout)
    }

    /// Sends a signal, given as an option of `kill`, for example `-STOP`.
    fn send_signal(&self, option: &str) {
        let pid = self.pid().to_string();
        let status =
            Command::new("kill").args([option, &pid]).status().expect("kill can be started");
        assert!(status.success(), "kill {option} {pid} failed");
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.send_signal("-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.send_signal("-CONT");
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.send_signal("-TERM");
    }

    /// Sends SIGHUP, on which the process reads its settings again.
    pub fn reload(&self) {
        self.send_signal("-HUP");
    }

    /// Reports whether the process exits within `timeout`.
    pub fn exits_within(&mut self, timeout: Duration) -> bool {
        wait_until(timeout, || matches!(self.child.try_wait(), Ok(Some(_))))
    }
}

/// Returns where the standard output of a process with these arguments goes.
fn stdout_of(args: &[&str]) -> Stdio {
    let Some(dir) = std::env::var_os("GYPSUMCHUTE_LOG_DIR") else { return Stdio::null() };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let settings = args.last().and_then(|path| Path::new(path).file_stem());
    let name = settings.unwrap_or_default().to_string_lossy();
    let path = Path::new(&dir).join(format!("{name}-{}.log", since_epoch.as_millis()));
    File::create(path).expect("a log file can be created").into()
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

/// Polls `condition` until it holds, and returns false if it does not within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    condition()
}

/// The control process and the entry process of one VM.
pub struct Vm {
    /// Addresses and settings of the VM.
    pub plan: VmPlan,
    pub control: Process,
    pub entry: Process,
}

/// A fleet of real control and entry processes that read a stand-in platform.
///
/// The test publishes configuration on the platform and injects faults into it.
pub struct Fleet {
    pub platform: Platform,
    pub vms: Vec<Vm>,
    /// Directory of the settings files of the processes.
    settings_dir: TempDir,
}

/// The HTTP response to a request.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// Body as JSON, or as a JSON string if it is not valid JSON.
    pub body: Value,
    pub headers: BTreeMap<String, String>,
}

impl Response {
    /// Returns the error code in the body, or an empty string.
    pub fn error_code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("")
    }

    /// Returns the verdict on whether the request ran, as stated in the body, or an empty string.
    pub fn verdict(&self) -> &str {
        self.body["error"]["verdict"].as_str().unwrap_or("")
    }
}

impl Fleet {
    /// Starts one VM for each entry of `zones`, with the configuration in `files`, and waits until
    /// every VM is ready.
    pub fn start(zones: &[&str], files: BTreeMap<String, String>) -> Self {
        Self::start_with_vm_list(zones, files, |plans| {
            plans.iter().map(VmPlan::to_listed_vm).collect()
        })
    }

    /// Starts a fleet as [`Fleet::start`] does, with the platform's list of VMs built by `vm_list`.
    pub fn start_with_vm_list(
        zones: &[&str],
        files: BTreeMap<String, String>,
        vm_list: impl Fn(&[VmPlan]) -> Vec<ListedVm>,
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
        platform.publish_vm_list(vm_list(&plans));
        let settings_dir = TempDir::new().unwrap();
        let mut fleet = Fleet { platform, vms: Vec::new(), settings_dir };
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
        let path = self.settings_dir.path().join(format!("{}-control.json", plan.vm));
        fs::write(&path, settings.to_string()).unwrap();
        Process::start(env!("CARGO_BIN_EXE_gypsumchute-control"), &[path.to_str().unwrap()])
    }

    /// Starts the entry process of a VM.
    pub fn start_entry(&self, plan: &VmPlan) -> Process {
        let settings = json!(plan.entry_settings());
        let path = self.settings_dir.path().join(format!("{}-entry.json", plan.vm));
        fs::write(&path, settings.to_string()).unwrap();
        Process::start(env!("CARGO_BIN_EXE_gypsumchute-entry"), &[path.to_str().unwrap()])
    }

    /// Waits until every VM is ready for callers.
    pub fn wait_ready(&self) {
        for vm in &self.vms {
            let ready = wait_until(STARTUP_TIMEOUT, || is_ready(vm.plan.entry_ops_address));
            assert!(ready, "{} did not become ready", vm.plan.vm);
        }
    }

    /// Returns the address on which VM number `index`, counted from 0, accepts callers' requests.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.vms[index].plan.frontend_address
    }

    /// Publishes a new configuration version in which `files` replace those of the same name, and
    /// returns the number of the version.
    pub fn publish(&self, files: BTreeMap<String, String>) -> u64 {
        self.platform.publish(files, Vec::new())
    }

    /// Waits until configuration `version` is in force on every VM, and returns false if it is not
    /// within `timeout`.
    pub fn wait_for_version(&self, version: u64, timeout: Duration) -> bool {
        wait_until(timeout, || {
            self.vms.iter().all(|vm| config_version(vm.plan.control_ops_address) == Some(version))
        })
    }
}

/// Reports whether the entry process passes the readiness check, on which the platform's load
/// balancer decides whether to send callers to the VM.
pub fn is_ready(ops_address: SocketAddr) -> bool {
    let response = request(Method::GET, ops_address, "/health/ready", "").send();
    response.is_ok_and(|response| response.is_success())
}

/// Returns the status page of a control process, or `None` if the process does not respond.
pub fn status(ops_address: SocketAddr) -> Option<Value> {
    request(Method::GET, ops_address, "/status", "").send().ok()?.json().ok()
}

/// Returns the configuration version in force at a control process, or `None` if the process does
/// not respond or has no configuration.
pub fn config_version(ops_address: SocketAddr) -> Option<u64> {
    status(ops_address)?["config_version"].as_u64()
}

/// Builds a request that carries `api_key`, or no API key if `api_key` is empty.
pub fn request(method: Method, address: SocketAddr, path: &str, api_key: &str) -> RequestBuilder {
    let builder = RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(Duration::from_secs(40));
    match api_key {
        "" => builder,
        api_key => builder.header("Authorization", format!("Bearer {api_key}")),
    }
}

/// Reads the response, or returns `None` if the connection failed.
fn read_response(response: attohttpc::Result<attohttpc::Response>) -> Option<Response> {
    let response = response.ok()?;
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let text = response.text().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Some(Response { status, body, headers })
}

/// Requests a generation without streaming. Returns `None` if the connection failed.
pub fn request_completion(
    address: SocketAddr,
    api_key: &str,
    model: &str,
    prompt: &str,
) -> Option<Response> {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": 4_000 });
    let builder = request(Method::POST, address, "/v1/completions", api_key).text(body.to_string());
    read_response(builder.send())
}

/// Sends a request to an application route, with an `Idempotency-Key` header unless
/// `idempotency_key` is empty. Returns `None` if the connection failed.
pub fn call_app(
    method: Method,
    address: SocketAddr,
    api_key: &str,
    path: &str,
    idempotency_key: &str,
    body: &str,
) -> Option<Response> {
    let mut builder = request(method, address, path, api_key);
    if !idempotency_key.is_empty() {
        builder = builder.header("Idempotency-Key", idempotency_key);
    }
    read_response(builder.text(body.to_owned()).send())
}

/// One server-sent event of a response.
#[derive(Debug, Clone)]
pub struct StreamEvent {
    pub id: String,
    pub data: String,
    pub received_at: Instant,
}

/// A streaming response to a generation request.
pub struct EventStream {
    lines: Box<dyn BufRead + Send>,
    /// Event id that was received last.
    last_id: String,
}

impl EventStream {
    /// Requests a streamed generation.
    ///
    /// # Errors
    ///
    /// Returns the error response if the request is rejected, or `None` if the connection failed.
    pub fn open(
        address: SocketAddr,
        api_key: &str,
        model: &str,
        prompt: &str,
    ) -> Result<Self, Option<Response>> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": 4_000, "stream": true });
        let builder =
            request(Method::POST, address, "/v1/completions", api_key).text(body.to_string());
        Self::from_response(builder.send())
    }

    /// Resumes the stream of a generation after the event `last_event_id`.
    ///
    /// # Errors
    ///
    /// As for [`EventStream::open`].
    pub fn resume(
        address: SocketAddr,
        api_key: &str,
        generation: &str,
        last_event_id: &str,
    ) -> Result<Self, Option<Response>> {
        let path = format!("/v1/completions/{generation}");
        let builder =
            request(Method::GET, address, &path, api_key).header("Last-Event-ID", last_event_id);
        Self::from_response(builder.send())
    }

    fn from_response(
        response: attohttpc::Result<attohttpc::Response>,
    ) -> Result<Self, Option<Response>> {
        match response {
            Ok(response) if response.is_success() => {
                let lines = Box::new(BufReader::new(response.split().2));
                Ok(EventStream { lines, last_id: String::new() })
            }
            other => Err(read_response(other)),
        }
    }

    /// Reads up to `count` events, or fewer if the stream ends or fails first.
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
                self.last_id = id.trim().to_owned();
            }
            if let Some(data) = line.strip_prefix("data: ") {
                let event = StreamEvent {
                    id: self.last_id.clone(),
                    data: data.trim().to_owned(),
                    received_at: Instant::now(),
                };
                events.push(event);
            }
        }
        events
    }

    /// Reads all events up to the end of the stream.
    pub fn read_all(&mut self) -> Vec<StreamEvent> {
        self.read(usize::MAX)
    }
}

/// Returns the text of the token in an event, or an empty string.
pub fn event_text(event: &StreamEvent) -> String {
    let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
    data["choices"][0]["text"].as_str().unwrap_or("").to_owned()
}

/// Returns the token texts of `events`, without `[DONE]` and error events.
pub fn event_tokens(events: &[StreamEvent]) -> Vec<String> {
    events.iter().map(event_text).filter(|text| !text.is_empty()).collect()
}

/// Reports whether the stream ended with `[DONE]`, the marker of a complete generation.
pub fn is_complete(events: &[StreamEvent]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

/// Returns the configuration of a customer with one API key.
pub fn customer_config(id: &str, api_key: &str, rate_per_s: f64, burst: u64) -> Value {
    json!({
        "id": id, "rate_per_s": rate_per_s, "burst": burst,
        "keys": [{ "id": "first", "sha256": KeyHash::of(KEY_SALT, api_key) }],
    })
}

/// Returns the name and content of the configuration file that lists `customers`.
pub fn customers_file(customers: &[Value]) -> (String, String) {
    ("20-customers.json".to_owned(), json!({ "customers": customers }).to_string())
}

/// Returns the configuration files that most tests share, by name: fleet, zones and routes.
///
/// The routes are the model route `survey` and the application routes `bookings` and `weather`, of
/// which `weather` requires no API key.
pub fn base_config_files(zones: &[&str]) -> BTreeMap<String, String> {
    let mut unique_zones: Vec<&str> = zones.to_vec();
    unique_zones.sort_unstable();
    unique_zones.dedup();
    let zones: Vec<Value> = unique_zones.iter().map(|zone| json!({ "id": zone })).collect();
    let routes = json!({
        "model_routes": [{ "id": "survey", "max_tokens": 4_000 }],
        "app_routes": [
            { "id": "bookings", "answer_ms": 4_000 },
            { "id": "weather", "open": true },
        ],
    });
    BTreeMap::from([
        ("00-fleet.json".to_owned(), json!({ "fleet": { "key_salt": KEY_SALT } }).to_string()),
        ("10-zones.json".to_owned(), json!({ "zones": zones }).to_string()),
        ("30-routes.json".to_owned(), routes.to_string()),
    ])
}

/// Returns the configuration of an endpoint that serves `routes`.
pub fn endpoint_config(id: &str, zone: &str, address: SocketAddr, routes: &[&str]) -> Value {
    json!({ "id": id, "zone": zone, "address": address, "routes": routes })
}

/// Returns the name and content of the configuration file that lists `endpoints`.
pub fn endpoints_file(endpoints: &[Value]) -> (String, String) {
    ("90-endpoints.json".to_owned(), json!({ "endpoints": endpoints }).to_string())
}

/// Starts a stand-in engine process and waits until it accepts connections.
pub fn start_engine(address: SocketAddr, spec: Value) -> Process {
    let binary = env!("CARGO_BIN_EXE_gypsumchute-standin-engine");
    let process = Process::start(binary, &[&address.to_string(), &spec.to_string()]);
    assert!(
        wait_until(STARTUP_TIMEOUT, || TcpStream::connect(address).is_ok()),
        "the engine at {address} accepts no connections"
    );
    process
}

/// Starts a stand-in service process and waits until it accepts connections.
pub fn start_service(address: SocketAddr, spec: Value) -> Process {
    let binary = env!("CARGO_BIN_EXE_gypsumchute-standin-service");
    let process = Process::start(binary, &[&address.to_string(), &spec.to_string()]);
    assert!(
        wait_until(STARTUP_TIMEOUT, || TcpStream::connect(address).is_ok()),
        "the service at {address} accepts no connections"
    );
    process
}

/// Fetches a JSON page of a stand-in.
pub fn get_standin_json(address: SocketAddr, path: &str) -> Value {
    request(Method::GET, address, path, "").send().unwrap().json().unwrap()
}

/// Returns how many times a service ran each request, by idempotency key, or by body for requests
/// without a key.
pub fn run_counts(address: SocketAddr) -> BTreeMap<String, u64> {
    serde_json::from_value(get_standin_json(address, "/-/runs")).unwrap()
}
