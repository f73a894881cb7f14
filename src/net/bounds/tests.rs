//! Bounds of one process and of two that share the limits of a machine.

use super::*;

/// Guards against bounds on a small machine that only fit a large one.
#[test]
fn the_bounds_of_one_process_fit_its_limits() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let limits = Limits { sockets, memory_mb };
        let bounds = Bounds::from_limits(&limits, false, false);
        assert!(bounds.clients + bounds.closing + bounds.upstream + RESERVED_DESCRIPTORS <= sockets);
        assert!(
            bounds.clients - bounds.silent_clients > sockets / 3,
            "well-behaved clients have enough connections"
        );
        assert!(bounds.buffers + bounds.local_cache <= memory_mb << 19);
    }
}

/// Guards against two processes with admin endpoints that exceed the shared limits during a takeover.
#[test]
fn the_bounds_of_two_processes_with_admin_endpoints_fit_the_limits_of_one() {
    for (sockets, memory_mb) in [(128, 16), (192, 24), (384, 48), (1024, 192)] {
        let limits = Limits { sockets, memory_mb };
        for (is_shared, processes) in [(false, 1), (true, 2)] {
            let bounds = Bounds::from_limits(&limits, true, is_shared);
            let descriptors =
                bounds.clients + bounds.closing + bounds.upstream + RESERVED_DESCRIPTORS + ADMIN_DESCRIPTORS;
            assert!(processes * descriptors <= sockets, "{sockets} {is_shared}: {bounds:?}");
            assert!(processes * (bounds.buffers + bounds.local_cache) <= memory_mb << 19);
        }
    }
}
