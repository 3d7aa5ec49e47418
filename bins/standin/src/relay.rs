//! TCP relays in front of the peer interfaces of entry hosts, which simulate network partitions
//! between availability zones.

use std::io;
use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use pier_core::ids;

use crate::{Error, Result, platform, settings};

/// How often waiting threads check whether the stand-in has stopped.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
const MAX_HEAD_BYTES: usize = 16 << 10;
const BUFFER_BYTES: usize = 64 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";
const HOST_HEADER: &str = "pier-host";

/// A relay in front of one entry host. The `Pier-Host` header of the first request on a connection
/// names the entry host that opened it. While the two hosts are cut off from each other, nothing
/// is forwarded and the connection stays open, as in a network that loses packets.
pub(crate) struct Relay {
    shared: sync::Arc<platform::Shared>,
    listener: net::TcpListener,
    zone: ids::ZoneId,
    target: String,
}

impl Relay {
    /// Listens at the host's peer address. Returns `None` if the host has no relay.
    ///
    /// # Errors
    /// [`Error::Listen`].
    pub fn bind(
        shared: &sync::Arc<platform::Shared>,
        host: &settings::EntryHost,
    ) -> Result<Option<Self>> {
        let Some(target) = host.relay_to.clone() else {
            return Ok(None);
        };
        let failed = |error: io::Error| Error::Listen {
            address: host.peer_address.clone(),
            detail: error.to_string(),
        };
        let listener = net::TcpListener::bind(&host.peer_address).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let (shared, zone) = (sync::Arc::clone(shared), host.availability_zone.clone());
        Ok(Some(Self { shared, listener, zone, target }))
    }

    /// Relays connections until the stand-in stops.
    pub fn run(self) {
        while !self.shared.is_stopped() {
            let Ok((client, _)) = self.listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            let (shared, zone) = (sync::Arc::clone(&self.shared), self.zone.clone());
            let target = self.target.clone();
            thread::spawn(move || {
                if let Err(error) = relay(shared, zone, &target, client) {
                    tracing::debug!(%error, "relayed connection failed");
                }
            });
        }
    }
}

/// State that the two directions of a connection share.
struct Link {
    shared: sync::Arc<platform::Shared>,
    zones: [Option<ids::ZoneId>; 2],
    ended: atomic::AtomicBool,
}

impl Link {
    /// Waits while the hosts are cut off from each other. Returns false if the connection has
    /// ended or the stand-in has stopped.
    fn wait_until_open(&self) -> bool {
        loop {
            if self.ended.load(atomic::Ordering::Acquire) || self.shared.is_stopped() {
                return false;
            }
            let [one, other] = &self.zones;
            if !self.shared.lock().faults.is_cut(one.as_ref(), other.as_ref()) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Forwards one direction until its end, then closes both.
    fn forward(&self, from: net::TcpStream, to: net::TcpStream) {
        // Shutting down the sockets tells both sides of the end of the connection.
        if let Err(error) = self.copy(&from, &to) {
            tracing::debug!(%error, "relayed connection failed");
        }
        self.ended.store(true, atomic::Ordering::Release);
        let _ = from.shutdown(net::Shutdown::Both);
        let _ = to.shutdown(net::Shutdown::Both);
    }

    fn copy(&self, mut from: &net::TcpStream, mut to: &net::TcpStream) -> io::Result<()> {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut buffer = vec![0; BUFFER_BYTES];
        while self.wait_until_open() {
            let length = match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(length) => length,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            // The partition may have begun while the thread waited for data.
            if !self.wait_until_open() {
                return Ok(());
            }
            to.write_all(&buffer[..length])?;
        }
        Ok(())
    }
}

fn relay(
    shared: sync::Arc<platform::Shared>,
    zone: ids::ZoneId,
    target: &str,
    client: net::TcpStream,
) -> io::Result<()> {
    client.set_nonblocking(false)?;
    client.set_nodelay(true)?;
    let head = read_head(&shared, &client)?;
    let client_zone = parse_host(&head).and_then(|host| shared.settings.zone_of(&host).cloned());
    let link = sync::Arc::new(Link {
        shared,
        zones: [client_zone, Some(zone)],
        ended: atomic::AtomicBool::new(false),
    });
    if !link.wait_until_open() {
        return Ok(());
    }
    let mut server = net::TcpStream::connect(target)?;
    server.set_nodelay(true)?;
    server.write_all(&head)?;
    let (response_link, request_link) = (sync::Arc::clone(&link), link);
    let (from_server, to_client) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || response_link.forward(from_server, to_client));
    request_link.forward(client, server);
    Ok(())
}

/// Reads at least to the end of the first request's head.
fn read_head(shared: &platform::Shared, mut client: &net::TcpStream) -> io::Result<Vec<u8>> {
    client.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut head = Vec::new();
    let mut buffer = [0; 4096];
    while !head.windows(HEAD_END.len()).any(|bytes| bytes == HEAD_END) {
        if head.len() > MAX_HEAD_BYTES || shared.is_stopped() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match client.read(&mut buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => head.extend_from_slice(&buffer[..length]),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(head)
}

/// Finds the value of the `Pier-Host` header.
fn parse_host(head: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(head);
    for line in text.lines() {
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        if name.eq_ignore_ascii_case(HOST_HEADER) {
            return Some(value.trim().to_owned());
        }
    }
    None
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
