//! Finds the process at the other end of a connection on this machine, so that a fault can affect the
//! connections of one process to an address that many use.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Number of times that the table is read at most. A table that changes meanwhile may lack a row.
const MAX_READS: u32 = 5;

/// The kernel's table of connections, with the time at which it began to be read.
static TABLE: Mutex<Option<(Instant, Arc<String>)>> = Mutex::new(None);

/// Returns a table that was read after this call began. Calls at the same time share one, since a
/// table of thousands of connections takes some milliseconds.
fn table() -> Arc<String> {
    let called = Instant::now();
    let mut shared = TABLE.lock().unwrap_or_else(PoisonError::into_inner);
    match &*shared {
        Some((started, table)) if *started >= called => table.clone(),
        Some(_) | None => {
            let started = Instant::now();
            let table = Arc::new(fs::read_to_string("/proc/net/tcp").unwrap_or_default());
            *shared = Some((started, table.clone()));
            table
        }
    }
}

/// Returns the inode of the socket whose row in a table has the given addresses.
fn inode_of(table: &str, addresses: &str) -> Option<String> {
    let (_, row) = table.split_once(addresses)?;
    // The state, five columns and the inode.
    row.split_whitespace().nth(6).map(str::to_owned)
}

/// Returns an address as the kernel's table shows it, in the byte order of the machine.
fn encode(address: SocketAddr) -> String {
    let ip = match address {
        SocketAddr::V4(address) => u32::from_ne_bytes(address.ip().octets()),
        SocketAddr::V6(_) => 0,
    };
    format!("{ip:08X}:{:04X}", address.port())
}

/// Addresses of a connection, as the row of its other end in the kernel's table shows them.
#[derive(Debug, Clone)]
pub struct Row(String);

impl Row {
    /// Returns the row of the other end of a connection, while that is open.
    pub fn of_peer(stream: &TcpStream) -> Option<Self> {
        let (peer, own) = (stream.peer_addr().ok()?, stream.local_addr().ok()?);
        // Ports are shared by connections to other addresses, so both ends are needed.
        Some(Self(format!(": {} {} ", encode(peer), encode(own))))
    }

    /// Whether the socket belongs to one of some processes.
    pub fn is_of(&self, processes: &[u32]) -> bool {
        let Some(inode) = (0..MAX_READS).find_map(|_| inode_of(&table(), &self.0)) else {
            return false;
        };
        let socket = format!("socket:[{inode}]");
        processes.iter().any(|process| {
            let files = fs::read_dir(format!("/proc/{process}/fd"));
            let mut files = files.into_iter().flatten().flatten();
            files.any(|file| fs::read_link(file.path()).is_ok_and(|link| *link == *socket))
        })
    }
}
