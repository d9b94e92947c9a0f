//! Allocation of loopback addresses and ports that no other fleet uses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of fleets created in this process, which gives each fleet addresses of its own.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// Number of addresses reserved for one fleet, one for each instance.
const MAX_INSTANCES: u32 = 16;

/// Loopback addresses of one fleet: a part of 127.0.0.0/8 chosen by process id and fleet number.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    process: u32,
    fleet: u32,
}

/// Addresses at which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
}

/// Free ports of one instance, bound until they are released for it.
#[derive(Debug)]
pub struct Ports {
    addresses: Addresses,
    listeners: [TcpListener; 3],
}

impl Network {
    /// Reserves addresses for the next fleet.
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
    /// Returns the addresses with their ports.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Closes the listeners, so that the instance can bind the ports.
    pub fn release(self) -> Addresses {
        drop(self.listeners);
        self.addresses
    }
}
