//! Checks that an accepted note is never lost or reverted when the processes and disks that store
//! it fail.

use std::time::Duration;

use futures::future::join;
use gooseberrylb_testbed::fleet::{Builder, Fleet, wait_until};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gooseberrylb_testbed");
/// Wait after which a lease has expired unless it was renewed.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_secs(5);
/// One more instance than can follow the leader directly, so that one must follow a relay.
const RELAYED_INSTANCES: usize = 25;
/// Time limit of waits, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Number of notes accepted before all instances are restarted.
const NOTE_COUNT: u64 = 500;

fn note(number: u64, account: &str) -> Value {
    json!({
        "note": number, "author": "rossi",
        "added": {"client_accounts": [{"name": account}]}
    })
}

async fn digest(fleet: &Fleet, number: u64) -> Value {
    let read = fleet.operator().get(&format!("/v1/notes/{number}")).await;
    read.map_or(Value::Null, |read| read["digest"].clone())
}

#[async_std::test]
async fn notes_survive_a_kill_of_all_instances_after_many_changes() {
    let mut fleet = Builder::new(PROGRAM).start().await.unwrap();
    let mut digests = Vec::new();
    for number in 1..=NOTE_COUNT {
        let accepted = fleet
            .operator()
            .submit(&note(number, &format!("account-{number}")))
            .await;
        digests.push(accepted.unwrap()["digest"].clone());
    }
    for i in 0..3 {
        fleet.instance_mut(i).kill().unwrap();
    }
    for i in 0..3 {
        fleet.instance_mut(i).start().unwrap();
    }
    fleet.wait_healthy(TIMEOUT).await.unwrap();
    fleet.wait_fresh(TIMEOUT).await.unwrap();
    fleet
        .operator()
        .wait_in_force(NOTE_COUNT, TIMEOUT)
        .await
        .unwrap();
    for (number, accepted) in (1..).zip(digests) {
        assert_eq!(digest(&fleet, number).await, accepted, "note {number}");
    }
}

#[async_std::test]
async fn same_number_at_two_instances_is_accepted_once() {
    let fleet = Builder::new(PROGRAM).start().await.unwrap();
    let operator = fleet.operator();
    operator.submit(&note(1, "first")).await.unwrap();
    let addresses: Vec<_> = fleet.instances().iter().map(|i| i.operators()).collect();
    for number in 2..12 {
        let (one, other) = (
            note(number, &format!("one-{number}")),
            note(number, "other"),
        );
        let (a, b) = join(
            operator.submit_at(addresses[1], &one),
            operator.submit_at(addresses[2], &other),
        )
        .await;
        let (a, b) = (a.unwrap(), b.unwrap());
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "note {number}");
        let (winner, accepted) = if a.status == 200 {
            (&one, &a)
        } else {
            (&other, &b)
        };
        let accepted = accepted.json().unwrap();
        for address in &addresses {
            let again = operator.submit_at(*address, winner).await.unwrap();
            assert_eq!(again.json().unwrap(), accepted, "resend of note {number}");
        }
        if winner == &other {
            let withdrawal = json!({
                "note": 100 + number, "author": "rossi",
                "withdrawn": {"client_accounts": ["other"]}
            });
            operator.submit(&withdrawal).await.unwrap();
        }
    }
}

#[async_std::test]
async fn second_loss_after_a_repair_loses_nothing() {
    let builder = Builder::new(PROGRAM)
        .with_instances(4)
        .with_voters(3)
        .with_spares(1);
    let mut fleet = builder.start().await.unwrap();
    let first = fleet.operator().submit(&note(1, "first")).await.unwrap();
    fleet.instance_mut(0).kill().unwrap();
    fleet.instances()[0].wipe().unwrap();
    let lost = fleet.instances()[0].name().to_owned();
    let spare = fleet.instances()[3].name().to_owned();
    let operator = fleet.operator();
    let repaired = async || {
        let status = operator.get("/v1/status").await.unwrap_or_default();
        let voters = status["voters"].as_array().cloned().unwrap_or_default();
        let votes = |name: &str| voters.iter().any(|voter| voter == name);
        // Until the lost voter is removed, it counts towards the quorum, and a second loss would
        // cost the quorum.
        votes(&spare) && !votes(&lost)
    };
    assert!(wait_until(TIMEOUT, repaired).await, "{}", fleet.output());
    let second = operator.submit(&note(2, "second")).await.unwrap();
    fleet.instance_mut(1).kill().unwrap();
    let third = operator.submit(&note(3, "third")).await.unwrap();
    for (number, accepted) in [(1, first), (2, second), (3, third)] {
        assert_eq!(
            digest(&fleet, number).await,
            accepted["digest"],
            "note {number}"
        );
    }
}

/// Guards the path of the configuration through relays, with more instances than can follow the
/// leader directly.
#[async_std::test]
async fn a_note_is_in_force_everywhere_through_relays() {
    let builder = Builder::new(PROGRAM)
        .with_instances(RELAYED_INSTANCES)
        .with_voters(3);
    let fleet = builder.start().await.unwrap();
    let operator = fleet.operator();
    operator.submit(&note(1, "first")).await.unwrap();
    operator.wait_in_force(1, TIMEOUT).await.unwrap();
    // By then, leases granted before the relays took over have ended.
    async_std::task::sleep(LEASE_EXPIRY_WAIT).await;
    for instance in fleet.instances() {
        assert!(wait_until(TIMEOUT, async || instance.is_fresh().await).await);
    }
}
