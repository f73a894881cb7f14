//! Delivery on virtual time.

use super::*;

const MS: Micros = 1_000;

/// Guards against taking written bytes for delivered ones, and against a peer that reads slowly being judged by the time
/// of its last write.
#[test]
fn bytes_are_delivered_once_they_are_acknowledged_and_each_acknowledgement_is_progress() {
    let mut delivery = Delivery::new(0);
    delivery.begin_write(5 * MS);
    delivery.record_written(300);
    assert_eq!((delivery.written(), delivery.unacknowledged(), delivery.last_progress()), (300, 300, 5 * MS));
    delivery.record_acknowledged(9 * MS, 100);
    assert_eq!((delivery.unacknowledged(), delivery.last_progress()), (200, 9 * MS));
    // Neither a repeated number nor a further write is progress of the peer.
    delivery.record_acknowledged(20 * MS, 100);
    delivery.begin_write(21 * MS);
    delivery.record_written(50);
    assert_eq!((delivery.unacknowledged(), delivery.last_progress()), (250, 9 * MS));
    // The end of the stream counts as one more byte and is acknowledged too.
    delivery.record_acknowledged(30 * MS, 351);
    assert_eq!((delivery.unacknowledged(), delivery.last_progress()), (0, 30 * MS));
    delivery.begin_write(90 * MS);
    delivery.record_written(10);
    assert_eq!((delivery.unacknowledged(), delivery.last_progress()), (10, 90 * MS));
}
