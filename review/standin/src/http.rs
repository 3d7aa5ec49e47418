//! A minimal HTTP/1.1 server with a thread a connection, and a client with a connection a call.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Header names are in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection stays open and delivers nothing any more.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves all connections of the listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((line, headers, body)) = read_message(&mut reader) {
        let target = line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        match handler(Request { path: path.to_owned(), query, headers, body }) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                     content-length: {}\r\n\r\n",
                    body.len()
                );
                let mut message = head.into_bytes();
                message.extend_from_slice(&body);
                if writer.write_all(&message).is_err() {
                    return;
                }
            }
            Reply::Silence => loop {
                thread::park();
            },
        }
    }
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let first = read_line(reader)?;
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    Some(line.trim_end().to_owned())
}

/// Makes a call on a new connection. None if there is no complete answer in time.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + timeout;
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.checked_duration_since(Instant::now())?.max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "host") {
        head.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("connection: close\r\n\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
