//! What follows from each error of accept.

use super::*;

/// Guards idle connections, which were let go for errors that no descriptor would have mended.
#[test]
fn each_error_that_linux_documents_has_its_consequence() {
    let of = |errno: Errno| failure(&io::Error::from_raw_os_error(errno.raw_os_error()));
    for one in OF_ONE_CONNECTION {
        assert_eq!(of(one), Failure::ConnectionLost, "{one:?}");
    }
    assert_eq!((of(Errno::AGAIN), of(Errno::MFILE)), (Failure::Empty, Failure::NoDescriptor));
    assert_eq!(of(Errno::NFILE), Failure::NoDescriptor);
    assert_eq!((of(Errno::NOBUFS), of(Errno::NOMEM)), (Failure::NoResources, Failure::NoResources));
}
