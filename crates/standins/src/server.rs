//! Minimal HTTP server for the stand-ins. Each request is handled by a thread of its own, and
//! streamed responses are flushed chunk by chunk.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};

/// Interval at which the server thread checks whether it should stop, in milliseconds.
const STOP_POLL_INTERVAL_MS: u64 = 50;

/// Handle to a running server. Dropping the handle stops the server.
pub struct ServerHandle {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop_requested: Arc<AtomicBool>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }
}

/// Starts a server at `address` that passes each request to `handler`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<ServerHandle>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let stop_requested = Arc::new(AtomicBool::new(false));
    let (stop, handler) = (stop_requested.clone(), Arc::new(handler));
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            if let Ok(Some(request)) =
                server.recv_timeout(Duration::from_millis(STOP_POLL_INTERVAL_MS))
            {
                let handler = handler.clone();
                thread::spawn(move || handler(request));
            }
        }
    });
    Ok(ServerHandle { address, stop_requested })
}

/// Returns the path and the query string of a request; the query string is empty if absent.
pub fn path_and_query(request: &Request) -> (String, String) {
    let url = request.url().to_owned();
    match url.split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (url, String::new()),
    }
}

/// Returns the query parameter `name` as a number, or `None` if it is absent or malformed.
pub fn query_param_u64(query: &str, name: &str) -> Option<u64> {
    query_param(query, name)?.parse().ok()
}

/// Returns the query parameter `name` without percent-decoding, or `None` if it is absent.
pub fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Reads the request body as text. A read error truncates the text, and invalid UTF-8 yields an
/// empty text.
pub fn read_body(request: &mut Request) -> String {
    let mut body = String::new();
    let _ = request.as_reader().read_to_string(&mut body);
    body
}

/// Returns the value of the first header called `name`, compared case-insensitively.
pub fn header_value(request: &Request, name: &str) -> Option<String> {
    let found =
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Sends a response with the given status code and JSON body.
pub fn respond_json(request: Request, status: u16, json: String) {
    let json_type = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let _ = request
        .respond(Response::from_string(json).with_status_code(status).with_header(json_type));
}

/// Response with chunked transfer encoding. Each chunk is flushed as soon as it is written.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
}

impl ChunkedResponse {
    /// Sends the status line and the headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub fn start(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()?;
        Ok(ChunkedResponse { writer })
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub fn send_chunk(&mut self, chunk: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{chunk}\r\n", chunk.len())?;
        self.writer.flush()
    }

    /// Sends the final chunk that ends the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub fn finish(mut self) -> io::Result<()> {
        write!(self.writer, "0\r\n\r\n")?;
        self.writer.flush()
    }
}
