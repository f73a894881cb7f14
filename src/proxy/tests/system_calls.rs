//! System calls that fail with errors that Linux documents, injected at the event loop.

use super::*;
use rustix::io::Errno;
use std::collections::VecDeque;

/// Errors with which the registrations of the next sockets fail.
#[derive(Clone, Default)]
struct InjectedErrors(Rc<RefCell<VecDeque<Errno>>>);

impl InjectedErrors {
    fn install(harness: &mut Harness) -> Self {
        let injected_errors = InjectedErrors::default();
        let next = injected_errors.0.clone();
        harness.proxy.event_loop.inject_faults(Box::new(move || Some(next.borrow_mut().pop_front()?.into())));
        injected_errors
    }

    fn extend(&self, errors: impl IntoIterator<Item = Errno>) {
        self.0.borrow_mut().extend(errors);
    }

    fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Guards against closing an accepted connection, with a request on it, because the poll has no room for it at the
/// moment.
#[test]
fn an_accepted_connection_that_the_poll_cannot_register_yet_is_kept() {
    for errno in [Errno::NOMEM, Errno::NOSPC] {
        let mut harness = Harness::new();
        InjectedErrors::install(&mut harness).extend([errno; 3]);
        let mut client = harness.connect_client();
        client.write(&request(1, 1, "clip"));
        let mut cache = harness.accept_cache();
        assert_eq!(harness.read_command(&mut cache)[1], request_id(1), "{errno:?}");
        cache.write(&response(&request_id(1), "ok", "-", "x"));
        assert_eq!(harness.read_frame(&mut client), (8, 1, b"\x14\x00x".to_vec()), "{errno:?}");
    }
}

/// A dial that the operating system refuses proves that the request did not run: it is rejected, in any
/// class, and the same endpoint serves later requests.
#[test]
fn a_request_whose_dial_the_system_refuses_gets_a_response() {
    let errors = [
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::HOSTUNREACH,
        Errno::AGAIN,
        Errno::TIMEDOUT,
    ];
    for errno in errors {
        for route in ["clip", "edit"] {
            let mut harness = Harness::new();
            // The command channel is connected first: its dial would close an idle client to free a descriptor.
            let _channel = harness.accept(|harness| &harness.channel);
            let mut client = harness.connect_client();
            harness.wait_until("the client", |proxy| (proxy.clients.len() == 1).then_some(()));
            let injected_errors = InjectedErrors::install(&mut harness);
            injected_errors.extend([errno; 12]);
            let nonce: &[(&str, &str)] = &[("nonce", "5c0f6e1a2b3d4c59")];
            client.write(&request_with(1, 1, route, if route == "edit" { nonce } else { &[] }));
            let (kind, stream, payload) = harness.read_frame(&mut client);
            assert_eq!(
                (kind, stream, payload[0]),
                (8, 1, 50),
                "{errno:?} {route}: nothing ran, a retry is safe"
            );
            injected_errors.clear();
            harness.skip(1_500 * MILLISECOND);
            // The injected errors are returned after the system has connected the sockets; those are discarded here.
            while harness.cache.accept().is_ok() || harness.origin.accept().is_ok() {}
            client.write(&request_with(2, 2, route, if route == "edit" { nonce } else { &[] }));
            let mut endpoint = harness.accept(if route == "edit" {
                |harness| &harness.origin
            } else {
                |harness| &harness.cache
            });
            assert_eq!(harness.read_command(&mut endpoint)[1], request_id(2), "{errno:?} {route}");
        }
    }
}
