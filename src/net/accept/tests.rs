//! Classification of each documented error of `accept`.

use super::*;

/// Guards against closing idle connections for errors that a freed descriptor does not fix.
#[test]
fn each_documented_accept_error_is_classified() {
    let of = |errno: Errno| classify(&io::Error::from_raw_os_error(errno.raw_os_error()));
    for errno in CONNECTION_ERRORS {
        assert_eq!(of(errno), Failure::ConnectionLost, "{errno:?}");
    }
    assert_eq!((of(Errno::AGAIN), of(Errno::MFILE)), (Failure::Empty, Failure::NoDescriptor));
    assert_eq!(of(Errno::NFILE), Failure::NoDescriptor);
    assert_eq!((of(Errno::NOBUFS), of(Errno::NOMEM)), (Failure::NoResources, Failure::NoResources));
}
