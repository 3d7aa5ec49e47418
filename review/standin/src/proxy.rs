//! A proxy in front of one address that can be cut: connections are closed and new ones refused.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: String,
    state: Arc<Mutex<State>>,
}

struct State {
    listener: Option<TcpListener>,
    connections: Vec<TcpStream>,
}

impl Proxy {
    pub fn start(target: &str) -> Proxy {
        let listener = listen("127.0.0.1:0");
        let address = listener.local_addr().expect("an address").to_string();
        let state = State { listener: Some(listener), connections: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let (accepting, target) = (Arc::clone(&state), target.to_owned());
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                let mut state = accepting.lock().expect("the proxy's lock");
                let accepted = state.listener.as_ref().and_then(|socket| socket.accept().ok());
                let Some((caller, _)) = accepted else {
                    continue;
                };
                let Ok(server) = TcpStream::connect(&target) else {
                    continue;
                };
                for (from, to) in [(&caller, &server), (&server, &caller)] {
                    let _ = from.set_nonblocking(false);
                    let _ = from.set_nodelay(true);
                    let clone = |socket: &TcpStream| socket.try_clone().expect("a descriptor");
                    let (from, to) = (clone(from), clone(to));
                    thread::spawn(move || forward(from, to));
                }
                state.connections.extend([caller, server]);
            }
        });
        Proxy { address, state }
    }

    /// Closes all connections and refuses new ones.
    pub fn cut(&self) {
        let mut state = self.state.lock().expect("the proxy's lock");
        state.listener = None;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn heal(&self) {
        let listener = listen(&self.address);
        self.state.lock().expect("the proxy's lock").listener = Some(listener);
    }
}

fn listen(address: &str) -> TcpListener {
    let listener = TcpListener::bind(address).expect("the proxy's address is free");
    listener.set_nonblocking(true).expect("a socket option");
    listener
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
