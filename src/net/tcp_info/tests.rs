//! What the system reports of a connection.

use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Guards against taking every connection for undelivered where the network stack reports no more than its state.
#[test]
fn a_report_without_a_segment_size_says_nothing_about_acknowledgements() {
    let mut info = [0; INFO_BYTES];
    info[0] = 1;
    assert_eq!(bytes_acked(&info), None);
    info[SEGMENT_SIZE_OFFSET..][..4].copy_from_slice(&1_460u32.to_ne_bytes());
    assert_eq!(bytes_acked(&info), Some(0));
    info[BYTES_ACKED_OFFSET..][..8].copy_from_slice(&77u64.to_ne_bytes());
    assert_eq!(bytes_acked(&info), Some(77));
}

/// Guards against a count that includes more than the bytes of an accepted connection.
#[test]
fn the_system_counts_the_bytes_that_the_peer_has_received() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut accepted, _) = listener.accept().unwrap();
    assert_eq!(acknowledged_bytes(&accepted), Some(0));
    accepted.write_all(&[7; 1_000]).unwrap();
    peer.read_exact(&mut [0; 1_000]).unwrap();
    let is_acknowledged = || acknowledged_bytes(&accepted) == Some(1_000);
    assert!((0..1_000_000).any(|_| is_acknowledged()));
}
