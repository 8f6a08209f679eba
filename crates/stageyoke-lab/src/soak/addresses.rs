//! Addresses of a run's machines: an IP of a loopback block each, and on all of
//! them the same ports, which the system gave once.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// AddressAllocator of one third part of a block's addresses.
const MACHINES_PER_SUBNET: usize = 250;
/// Second parts of loopback addresses from which a run draws its own.
const BLOCKS: std::ops::Range<u8> = 2..250;

/// AddressAllocator that a run has had so far.
#[derive(Debug)]
pub struct AddressAllocator {
    block: u8,
    ports: [u16; 3],
    given: usize,
}

impl AddressAllocator {
    /// Draws a block, and has the system give the ports. Fails where it gives none.
    pub fn with_random_block() -> io::Result<Self> {
        let held: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind(("127.0.0.1", 0)))
            .collect::<io::Result<_>>()?;
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(&held) {
            *port = listener.local_addr()?.port();
        }
        Ok(Self {
            block: rand::random_range(BLOCKS),
            ports,
            given: 0,
        })
    }

    /// A machine that there was not before: its addresses for callers, for
    /// readiness and for the system's own processes.
    pub fn allocate(&mut self) -> [SocketAddr; 3] {
        let part = (self.given / MACHINES_PER_SUBNET) as u8;
        let last = (self.given % MACHINES_PER_SUBNET) as u8 + 1;
        self.given += 1;
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.block, part, last));
        self.ports.map(|port| SocketAddr::new(ip, port))
    }
}
