//! Durations that follow from what a platform promises.

use std::time::Duration;

use gooseberrylb_config::settings::timing::{
    ATTEMPT_PAUSE, INSTANCE_TIMEOUT, MAX_LEASE, MIN_LEASE,
};
use gooseberrylb_config::settings::{Settings, Timing};

const fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns settings with further fields of the deployment.
fn settings(fields: &str) -> Settings {
    let text = format!(
        r#"{{ "name": "127.0.0.1", "data_centre": "lodi", "region": "padana", "callers": "127.0.0.1:9",
            "operators": "127.0.0.1:10", "peers_listen": "127.0.0.1:11", "cluster_key_file": "key",
            "operator_token_file": "token", "deployment": {{ "seeds": ["127.0.0.1:12"], "first_start": true,
            "feed": "127.0.0.1:13", "grace_s": 8, "retry_share": 0.2, "retry_slack": 50, "retry_window_s": 10,
            "quota_window_s": 8 {fields} }} }}"#
    );
    Settings::parse(&text).unwrap()
}

fn with_bounds(fields: &str) -> Settings {
    settings(&format!(r#", "bounds": {{ {fields} }}"#))
}

fn shortfalls(settings: &Settings) -> Vec<String> {
    let findings = settings.shortfalls();
    findings.iter().map(|f| f.place.to_string()).collect()
}

#[test]
fn lease_ends_before_a_change_must_be_in_force() {
    for (fields, expected) in [
        ("", MAX_LEASE),
        (r#", "change_limit_ms": 2500"#, ms(2400)),
        (r#", "drain_limit_ms": 3000"#, ms(1900)),
        (
            r#", "change_limit_ms": 2500, "drain_limit_ms": 4000"#,
            ms(2400),
        ),
        (
            r#", "change_limit_ms": 2000, "drain_limit_ms": 3000"#,
            ms(1900),
        ),
        (
            r#", "change_limit_ms": 60000, "drain_limit_ms": 60000"#,
            MAX_LEASE,
        ),
        (r#", "change_limit_ms": 500"#, MIN_LEASE),
        (
            r#", "change_limit_ms": 3000, "bounds": { "revoke_limit_ms": 2000 }"#,
            ms(1900),
        ),
    ] {
        assert_eq!(settings(fields).timing().lease, expected, "with {fields}");
    }
    assert_eq!(Timing::default().lease, MAX_LEASE);
}

#[test]
fn lease_fits_every_limit_or_the_limit_is_reported() {
    for limit in (100..=10_000).step_by(50) {
        for (field, place, reserved) in [
            ("\"change_limit_ms\": LIMIT", "change_limit_ms", ms(100)),
            ("\"drain_limit_ms\": LIMIT", "drain_limit_ms", ms(1_100)),
            (
                "\"bounds\": { \"revoke_limit_ms\": LIMIT }",
                "bounds.revoke_limit_ms",
                ms(100),
            ),
        ] {
            let field = field.replace("LIMIT", &limit.to_string());
            let settings = settings(&format!(", {field}"));
            let lease = settings.timing().lease;
            assert!((MIN_LEASE..=MAX_LEASE).contains(&lease) && lease < INSTANCE_TIMEOUT);
            let reported = shortfalls(&settings).contains(&format!("deployment.{place}"));
            assert_eq!(lease + reserved > ms(limit), reported, "{field}");
        }
    }
}

#[test]
fn call_ends_before_its_answer_is_due_with_time_for_a_second_attempt() {
    for limit in (1_000..=60_000).step_by(100) {
        let settings = with_bounds(&format!(r#""answer_limit_ms": {limit}"#));
        let timing = settings.timing();
        assert!(timing.proposal < timing.attempt, "{limit}: {timing:?}");
        assert!(timing.attempt * 2 + ATTEMPT_PAUSE <= timing.call);
        assert!(timing.call < ms(limit), "{limit}: {timing:?}");
        let reported = shortfalls(&settings).contains(&"deployment.bounds.answer_limit_ms".into());
        assert_eq!(reported, timing.call < ms(1_400), "{limit}: {timing:?}");
    }
}

#[test]
fn times_of_a_call_without_a_promise_are_the_longest() {
    let unbounded = Timing::default();
    for timing in [
        settings("").timing(),
        with_bounds(r#""answer_limit_ms": null"#).timing(),
    ] {
        assert_eq!(timing.call, unbounded.call);
        assert_eq!(timing.attempt, unbounded.attempt);
        assert_eq!(timing.proposal, unbounded.proposal);
    }
    let long = with_bounds(r#""answer_limit_ms": 1e300"#).timing();
    assert_eq!(
        (long.call, long.attempt),
        (unbounded.call, unbounded.attempt)
    );
}

#[test]
fn vote_of_a_lost_voter_ends_in_time_or_the_promise_is_reported() {
    // An election, a round of the leader's tasks, and the change itself.
    let others = ms(1_000) + ms(150) + ms(300);
    for tenths in 0..=200 {
        let catch_up = ms(tenths * 100);
        let settings = with_bounds(&format!(r#""catch_up_s": {:?}"#, catch_up.as_secs_f64()));
        let silence = settings.timing().silence;
        assert!(silence.urgent <= silence.ordinary);
        let reported = shortfalls(&settings).contains(&"deployment.bounds.catch_up_s".into());
        assert_eq!(
            silence.ordinary + others > catch_up,
            reported,
            "{catch_up:?}"
        );
    }
}

#[test]
fn promises_that_leave_too_little_time_are_named_with_both_times() {
    assert_eq!(shortfalls(&settings("")), Vec::<String>::new());
    let settings = with_bounds(
        r#""catch_up_s": 1, "answer_limit_ms": 500, "settle_limit_ms": 1000, "revoke_limit_ms": 0,
           "recovery_limit_s": 2"#,
    );
    let findings = settings.shortfalls();
    let texts: Vec<_> = findings.iter().map(|f| f.to_string()).collect();
    assert_eq!(texts.len(), 5, "{texts:?}");
    assert_eq!(
        texts[0],
        "deployment.bounds.catch_up_s: 1s is shorter than the time in which a lost voter is replaced, 2.45s"
    );
}

#[test]
fn promises_of_the_deployments_in_force_can_be_kept() {
    let settings = settings(
        r#", "change_limit_ms": 2000, "drain_limit_ms": 3000, "bounds": { "catch_up_s": 4,
        "answer_limit_ms": 4000, "settle_limit_ms": 3000, "revoke_limit_ms": 5000, "recovery_limit_s": 12 }"#,
    );
    assert_eq!(shortfalls(&settings), Vec::<String>::new());
    let timing = settings.timing();
    assert_eq!(timing.lease, ms(1_900));
    assert_eq!((timing.attempt, timing.call), (ms(1_600), ms(3_600)));
}
