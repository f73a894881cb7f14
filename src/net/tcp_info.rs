//! The number of bytes of a TCP connection that the peer's machine has acknowledged, from the `TCP_INFO` socket option
//! (tcp(7), `struct tcp_info` in linux/tcp.h).

#[cfg(test)]
mod tests;

use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use std::mem::{offset_of, size_of};
use std::os::fd::AsFd;

/// Position of the number of acknowledged bytes in the option's value.
const BYTES_ACKED_OFFSET: usize = offset_of!(libc::tcp_info, tcpi_bytes_acked);
/// Position of the sender's segment size in the option's value.
const SEGMENT_SIZE_OFFSET: usize = offset_of!(libc::tcp_info, tcpi_snd_mss);
/// Length of the value up to that number. Kernels return as much of the value as is asked for, and have had this field
/// since Linux 4.1.
const INFO_BYTES: usize = BYTES_ACKED_OFFSET + size_of::<u64>();

sockopt_impl!(
    /// The beginning of the value of `TCP_INFO`.
    InfoPrefix,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u8; INFO_BYTES]
);

/// Returns the number of bytes of an accepted connection that the peer's machine has acknowledged, the end of the stream
/// included, or `None` if the system does not report it.
pub fn acknowledged_bytes(socket: &impl AsFd) -> Option<u64> {
    let info = getsockopt(socket, InfoPrefix).ok()?;
    bytes_acked(&info)
}

/// Reads the number of acknowledged bytes. Some network stacks report the state of a connection only and leave all else
/// zero, also the segment size, which no connection has.
fn bytes_acked(info: &[u8; INFO_BYTES]) -> Option<u64> {
    let segment_size = u32::from_ne_bytes(*info.get(SEGMENT_SIZE_OFFSET..)?.first_chunk()?);
    let acknowledged = u64::from_ne_bytes(*info.get(BYTES_ACKED_OFFSET..)?.first_chunk()?);
    (segment_size > 0).then_some(acknowledged)
}
