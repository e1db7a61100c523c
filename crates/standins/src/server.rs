//! A small HTTP server for the stand-ins: a thread a request, streams flushed piece by piece.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};

const POLL_MS: u64 = 50;

/// A running server; it ends when this is dropped.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Serves `handler` at `address`.
///
/// # Errors
///
/// The address can't be bound.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<Running>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let stopped = Arc::new(AtomicBool::new(false));
    let (flag, handler) = (stopped.clone(), Arc::new(handler));
    thread::spawn(move || {
        while !flag.load(Ordering::Relaxed) {
            if let Ok(Some(request)) = server.recv_timeout(Duration::from_millis(POLL_MS)) {
                let handler = handler.clone();
                thread::spawn(move || handler(request));
            }
        }
    });
    Ok(Running { address, stopped })
}

/// Path and query of a request.
pub fn path_and_query(request: &Request) -> (String, String) {
    let url = request.url().to_owned();
    match url.split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (url, String::new()),
    }
}

/// A number from a query string.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// A text from a query string, as it stands.
pub fn query_text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// The body as text.
pub fn body_text(request: &mut Request) -> String {
    let mut body = String::new();
    let _ = request.as_reader().read_to_string(&mut body);
    body
}

/// A header's value.
pub fn header(request: &Request, name: &str) -> Option<String> {
    let found =
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Answers with a status and a JSON text.
pub fn answer(request: Request, status: u16, json: String) {
    let json_type = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let _ = request
        .respond(Response::from_string(json).with_status_code(status).with_header(json_type));
}

/// A chunked answer that is flushed piece by piece.
pub struct Stream {
    writer: Box<dyn Write + Send>,
}

impl Stream {
    /// Begins the answer.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn begin(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(writer, "{name}: {value}\r\n")?;
        }
        write!(writer, "\r\n")?;
        writer.flush()?;
        Ok(Stream { writer })
    }

    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn send(&mut self, piece: &str) -> io::Result<()> {
        write!(self.writer, "{:x}\r\n{piece}\r\n", piece.len())?;
        self.writer.flush()
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn end(mut self) -> io::Result<()> {
        write!(self.writer, "0\r\n\r\n")?;
        self.writer.flush()
    }
}
