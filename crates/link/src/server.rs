//! The JSON-RPC server of a host, for peers and operators.

use std::net;

use jsonrpsee::server;

use crate::{Error, Result, options};

/// A running server. It stops when it is dropped or [`RpcServer::stop`] is called.
#[derive(Debug)]
pub struct RpcServer {
    local_address: net::SocketAddr,
    handle: server::ServerHandle,
}

impl RpcServer {
    /// Starts to serve `methods` on `address`, over HTTP and WebSocket, on the current tokio
    /// runtime. Merge the modules of [`crate::peer::module`] and
    /// [`crate::operator::module`] to serve both on one address.
    ///
    /// # Errors
    /// [`Error::Listen`] if the server cannot listen on the address.
    pub async fn start(
        address: net::SocketAddr,
        options: &options::PeerOptions,
        methods: impl Into<server::Methods>,
    ) -> Result<Self> {
        let listen_error = |detail: String| Error::Listen { address: address.to_string(), detail };
        let max_bytes = u32::try_from(options.max_message_bytes).unwrap_or(u32::MAX);
        let config = server::ServerConfig::builder()
            .max_request_body_size(max_bytes)
            .max_response_body_size(max_bytes)
            .max_connections(options.max_connections)
            .set_batch_request_config(server::BatchRequestConfig::Limit(batch_limit(options)))
            .set_tcp_no_delay(true)
            .build();
        let server = server::Server::builder()
            .set_config(config)
            .build(address)
            .await
            .map_err(|error| listen_error(error.to_string()))?;
        let local_address = server.local_addr().map_err(|error| listen_error(error.to_string()))?;
        let handle = server.start(methods);
        Ok(Self { local_address, handle })
    }

    /// The address that the server listens on.
    pub fn local_address(&self) -> net::SocketAddr {
        self.local_address
    }

    /// Stops the server and waits until its connections are closed.
    pub async fn stop(self) {
        if self.handle.stop().is_ok() {
            self.handle.stopped().await;
        }
    }
}

fn batch_limit(options: &options::PeerOptions) -> u32 {
    u32::try_from(options.batch_limit).unwrap_or(u32::MAX).max(1)
}
