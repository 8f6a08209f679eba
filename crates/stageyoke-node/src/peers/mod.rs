//! Transport between nodes: signed datagrams for what is small and may be
//! lost, connections for the rest, with mutual TLS where it is set up.

mod connection;
mod tls;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use stageyoke_core::message::PeerMessage;
use stageyoke_core::node::Input;
use stageyoke_types::{Event, NodeId};
use stageyoke_wire::{ClusterKey, encode_frame, open_datagram, seal_datagram};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use connection::Link;
pub use tls::{NODE_NAME, TlsError, TlsIdentity};

use crate::driver::{Command, DriverHandle};
use crate::events;
use crate::metrics::Metrics;

/// Largest datagram accepted, bytes.
const MAX_DATAGRAM: usize = 65_535;

/// What every part of the transport needs.
#[derive(Clone)]
pub struct PeerContext {
    /// This node.
    pub id: NodeId,
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Secret of the cluster.
    pub key: ClusterKey,
    /// TLS, if it is used.
    pub tls: Option<Arc<TlsIdentity>>,
    /// Metrics.
    pub metrics: Metrics,
}

impl PeerContext {
    fn refuse(&self, reason: &str, from: SocketAddr) {
        self.metrics
            .events
            .with_label_values(&["PeerRefused"])
            .inc();
        let detail = format!("reason={reason} from={from}");
        events::emit(Event::PeerRefused, &self.name, &detail);
    }

    fn count(&self, name: &str, direction: &str, bytes: usize) {
        let labels = [name, direction];
        self.metrics.peer_messages.with_label_values(&labels).inc();
        self.metrics
            .peer_bytes
            .with_label_values(&labels)
            .inc_by(bytes as u64);
    }
}

/// The sending side, owned by the driver.
pub struct PeerNetwork {
    context: PeerContext,
    socket: Arc<UdpSocket>,
    links: HashMap<NodeId, Link>,
    runtime: tokio::runtime::Handle,
}

impl PeerNetwork {
    /// A transport that sends from a bound socket.
    pub fn new(
        context: PeerContext,
        socket: Arc<UdpSocket>,
        runtime: tokio::runtime::Handle,
    ) -> Self {
        Self {
            context,
            socket,
            links: HashMap::new(),
            runtime,
        }
    }

    /// Sends to one life of a node at its address. Nothing is waited for; what
    /// cannot be sent is lost, which every protocol above tolerates.
    pub fn send(&mut self, to: NodeId, life: u16, address: SocketAddr, message: &PeerMessage) {
        if message.is_datagram() {
            self.send_datagram(address, message);
            return;
        }
        let frame = encode_frame(message);
        self.context.count(message.name(), "sent", frame.len());
        let stale = self
            .links
            .get(&to)
            .is_some_and(|link| !link.leads_to(address, life) || link.is_closed());
        if stale {
            self.links.remove(&to);
        }
        let link = self
            .links
            .entry(to)
            .or_insert_with(|| Link::open(self.context.clone(), address, life, &self.runtime));
        link.send(frame);
    }

    /// Sends a datagram to an address.
    pub fn send_datagram(&self, address: SocketAddr, message: &PeerMessage) {
        let bytes = seal_datagram(self.context.id, message, &self.context.key);
        self.context.count(message.name(), "sent", bytes.len());
        let _ = self.socket.send_to(&bytes, address);
    }

    /// Closes connections to nodes that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.links.retain(|node, _| is_member(*node));
    }
}

/// Receives datagrams until the socket is closed.
pub async fn receive_datagrams(
    context: PeerContext,
    socket: Arc<UdpSocket>,
    driver: DriverHandle,
) -> io::Result<()> {
    let socket = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    let mut buffer = vec![0_u8; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // An earlier datagram's receiver refused it; nothing is wrong here.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
            Err(error) => return Err(error),
        };
        match open_datagram(&buffer[..length], &context.key) {
            Ok(datagram) => {
                context.count(datagram.message.name(), "received", length);
                let input = Input::Peer {
                    from: datagram.from,
                    message: datagram.message,
                };
                driver.send(Command::Input(input));
            }
            Err(error) => context.refuse(&error.to_string(), from),
        }
    }
}

/// Accepts connections of other nodes.
pub async fn accept_connections(
    context: PeerContext,
    listener: TcpListener,
    driver: DriverHandle,
) -> io::Result<()> {
    // Dropping the set with this task closes every connection.
    let mut connections = JoinSet::new();
    loop {
        let (stream, from) = listener.accept().await?;
        let (context, driver) = (context.clone(), driver.clone());
        connections.spawn(async move {
            if let Err(reason) = connection::serve(&context, stream, driver).await {
                context.refuse(&reason, from);
            }
        });
        while connections.try_join_next().is_some() {}
    }
}
