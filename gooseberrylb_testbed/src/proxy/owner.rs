//! Finds the process at the other end of a connection on this machine, so that a fault can affect the
//! connections of one process to an address that many use.

use std::fs;
use std::net::SocketAddr;

/// Whether the other end of a connection, which is at `peer`, belongs to one of some processes.
pub fn is_of(peer: SocketAddr, processes: &[u32]) -> bool {
    let SocketAddr::V4(peer) = peer else {
        return false;
    };
    // The kernel's table has addresses in the byte order of the machine.
    let address = u32::from_ne_bytes(peer.ip().octets());
    let local = format!(": {address:08X}:{:04X} ", peer.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let Some((_, row)) = table.split_once(&local) else {
        return false;
    };
    // The remote address, the state, five columns and the inode.
    let Some(inode) = row.split_whitespace().nth(7) else {
        return false;
    };
    let socket = format!("socket:[{inode}]");
    processes.iter().any(|process| {
        let files = fs::read_dir(format!("/proc/{process}/fd"));
        let mut files = files.into_iter().flatten().flatten();
        files.any(|file| fs::read_link(file.path()).is_ok_and(|link| *link == *socket))
    })
}
