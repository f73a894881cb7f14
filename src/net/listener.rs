//! The listener for clients. Where a second process may come to stand beside this one, both can listen.

use mio::net::TcpListener;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::SocketAddr;

/// Connections that may wait to be taken; the system caps it further.
const WAITING: i32 = 4096;

/// Listens; `shared`: in a way that another process of the same user may listen at the same address as well.
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
    rustix::net::listen(&socket, WAITING)?;
    Ok(TcpListener::from_std(socket.into()))
}
