//! Addresses and ports that no other fleet uses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Counts the fleets of this process, so that each gets addresses of its own.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// The instances that one fleet has addresses for.
const MAX_INSTANCES: u32 = 16;

/// The loopback addresses of one fleet: parts of 127.0.0.0/8 chosen by process and fleet.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    process: u32,
    fleet: u32,
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// Free ports, held until they are released to the instance that is to use them.
#[derive(Debug)]
pub struct Ports {
    addresses: Addresses,
    listeners: [TcpListener; 3],
}

impl Network {
    /// Takes the next fleet's addresses.
    pub fn new() -> Self {
        Self {
            process: process::id(),
            fleet: FLEET_COUNT.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Finds free ports for instance `i`.
    pub fn ports(&self, i: usize) -> io::Result<Ports> {
        let ip = self.ip(i as u32);
        let bind = || TcpListener::bind(SocketAddr::new(ip, 0));
        let listeners = [bind()?, bind()?, bind()?];
        let [callers, operators, peers] = &listeners;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        Ok(Ports {
            addresses,
            listeners,
        })
    }

    fn ip(&self, i: u32) -> IpAddr {
        let second = 64 + (self.process >> 8) % 128;
        let third = self.process % 256;
        let fourth = 1 + (self.fleet * MAX_INSTANCES + i) % 254;
        IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, fourth as u8))
    }
}

impl Ports {
    /// The addresses with their ports.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Frees the ports for the instance.
    pub fn release(self) -> Addresses {
        drop(self.listeners);
        self.addresses
    }
}
