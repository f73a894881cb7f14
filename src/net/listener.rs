//! The listener for clients. During a takeover two processes of one instance can listen at the same address.

use mio::net::TcpListener;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::SocketAddr;

/// Maximum number of pending connections; the system may cap it further.
const LISTEN_BACKLOG: i32 = 4096;

/// Listens at `address`. If `shared`, another process of the same user may listen at the same address as well.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    if !shared {
        return TcpListener::bind(address);
    }
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}
