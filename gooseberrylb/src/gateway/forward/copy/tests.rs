use super::*;

/// Guards against "not run" for a request whose copy may have run.
#[test]
fn request_whose_copy_may_have_run_is_not_reported_as_not_run() {
    let unknown = || Err(Failure::Unknown("broke off"));
    for ran in [unknown(), Err(Failure::Silent), Err(Failure::TimedOut)] {
        let joined = join(Err(Failure::NotRun), Some(&ran));
        assert!(matches!(joined, Err(Failure::Unknown(_))));
    }
    for not_run in [Err(Failure::NotRun), Err(Failure::ConnectFailed)] {
        let joined = join(Err(Failure::NotRun), Some(&not_run));
        assert!(matches!(joined, Err(Failure::NotRun)));
    }
    assert!(matches!(
        join(Err(Failure::NotRun), None),
        Err(Failure::NotRun)
    ));
    let lost = join(Err(Failure::Lost("closed")), Some(&Err(Failure::NotRun)));
    assert!(matches!(lost, Err(Failure::Lost(_))));
}
