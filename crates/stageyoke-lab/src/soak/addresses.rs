//! Allocates the addresses of the machines of a run: each machine has its own loopback IP,
//! and all machines use the same ports, which the system assigned.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Number of machines that share the third octet of their address.
const MACHINES_PER_SUBNET: usize = 250;
/// Second octets from which a run draws one.
const BLOCKS: std::ops::Range<u8> = 2..250;

/// Allocates loopback addresses of one block.
#[derive(Debug)]
pub struct AddressAllocator {
    block: u8,
    ports: [u16; 3],
    allocated: usize,
}

impl AddressAllocator {
    /// Draws a block and has the system assign three free ports.
    pub fn with_random_block() -> io::Result<Self> {
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind(("127.0.0.1", 0)))
            .collect::<io::Result<_>>()?;
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr()?.port();
        }
        Ok(Self {
            block: rand::random_range(BLOCKS),
            ports,
            allocated: 0,
        })
    }

    /// Returns the addresses of a new machine: for callers, for readiness checks and for
    /// peer processes.
    pub fn allocate(&mut self) -> [SocketAddr; 3] {
        let subnet = (self.allocated / MACHINES_PER_SUBNET) as u8;
        let host = (self.allocated % MACHINES_PER_SUBNET) as u8 + 1;
        self.allocated += 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.block, subnet, host));
        self.ports.map(|port| SocketAddr::new(ip, port))
    }
}
