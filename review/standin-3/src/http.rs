//! HTTP/1.1 with keep-alive: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as the server received it. Header names are in lower case.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn param(&self, name: &str) -> &str {
        find(&self.query, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> &'a str {
    pairs.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

/// What the server does with a request: a response, or none, which closes the connection.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves on a free port of 127.0.0.1 until the process ends, and returns the address.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    serve_on(listener, handler);
    address
}

pub fn serve_on(
    listener: TcpListener,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(reading), stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&body);
        if writer.write_all(&message).is_err() {
            return;
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(length) if length > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let target = line.split(' ').nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut pairs = Vec::new();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            pairs.push((name.to_owned(), decode_percent(value)));
        }
    }
    Some(Request { path: path.to_owned(), query: pairs, headers, body })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// How a client's call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete response: status, headers and body.
    Response(u16, Vec<(String, String)>, String),
    /// No connection could be opened.
    NoConnection,
    /// The request could not be written completely.
    NotSent,
    /// The whole request was written, and the connection ended without a complete response.
    Cut,
    /// There was no complete response in time.
    TimedOut,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Response(status, ..) => *status,
            _ => 0,
        }
    }

    /// The outcome in a few words, for the record.
    pub fn label(&self) -> String {
        match self {
            Outcome::Response(status, _, body) => format!("{status} {body}"),
            other => format!("{other:?}"),
        }
    }
}

/// A caller's call with the times at which its last byte was sent and at which it ended.
pub struct Call {
    pub outcome: Outcome,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

/// A client that keeps its connection open as long as the server does.
pub struct Client {
    pub address: String,
    host: String,
    key: String,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: &str, host: &str, key: &str) -> Self {
        Self { address: address.into(), host: host.into(), key: key.into(), stream: None }
    }

    /// Closes the connection, and uses another address from now on.
    pub fn move_to(&mut self, address: &str) {
        self.stream = None;
        self.address = address.into();
    }

    pub fn is_connected(&self) -> bool {
        self.stream.is_some()
    }

    pub fn call(&mut self, method: &str, path: &str, body: &str, timeout: Duration) -> Call {
        let mut call = Call {
            outcome: Outcome::NoConnection,
            sent_at: Instant::now(),
            ended_at: Instant::now(),
        };
        let mut message = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nPersimmonpier-Deadline-Ms: {}\r\n",
            self.host,
            timeout.as_millis()
        );
        if !self.key.is_empty() {
            message.push_str(&format!("X-Api-Key: {}\r\n", self.key));
        }
        if !body.is_empty() {
            message.push_str("Content-Type: application/json\r\n");
            message.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        message.push_str("\r\n");
        message.push_str(body);
        if self.stream.is_none() {
            let Some(address) = self.address.parse().ok() else { return call };
            match TcpStream::connect_timeout(&address, timeout) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.stream = Some(BufReader::new(stream));
                }
                Err(_) => {
                    call.ended_at = Instant::now();
                    return call;
                }
            }
        }
        let Some(mut reader) = self.stream.take() else { return call };
        if reader.get_mut().write_all(message.as_bytes()).is_err() {
            call.outcome = Outcome::NotSent;
            call.ended_at = Instant::now();
            return call;
        }
        call.sent_at = Instant::now();
        let _ = reader.get_ref().set_read_timeout(Some(timeout));
        call.outcome = read_response(&mut reader);
        call.ended_at = Instant::now();
        if let Outcome::Response(_, headers, _) = &call.outcome {
            if !find(headers, "connection").eq_ignore_ascii_case("close") {
                self.stream = Some(reader);
            }
        }
        call
    }
}

fn read_response(reader: &mut BufReader<TcpStream>) -> Outcome {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => return Outcome::Cut,
        Ok(_) => {}
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            return Outcome::TimedOut;
        }
        Err(_) => return Outcome::Cut,
    }
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let Some(headers) = read_headers(reader) else { return Outcome::Cut };
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_err() {
        return Outcome::Cut;
    }
    Outcome::Response(status, headers, String::from_utf8_lossy(&body).into_owned())
}
