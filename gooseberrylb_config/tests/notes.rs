//! Notes are read with all findings at once, and judged against the configuration they apply to.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gooseberrylb_config::directory::{ActiveMove, Directory, Share};
use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::note::Note;

const BASE: &str = r#"{
    // Two versions of one engine service.
    "note": 1, "author": "rossi",
    "added": {
        "services": [{ "name": "agronomo", "kind": "engine", "routes": [
            { "name": "plan", "tier": 1, "repeatable": false } ] }],
        "models": [{ "name": "m", "bytes": 1000 }],
        "upstreams": [
            { "name": "u1", "service": "agronomo", "kind": "engine", "address": "127.0.0.1:9001",
              "data_centre": "lodi", "slots": 4 },
            { "name": "u2", "service": "agronomo", "kind": "engine", "address": "127.0.0.1:9002",
              "data_centre": "lodi", "slots": 4 } ],
        "versions": [{ "name": "v1", "service": "agronomo", "upstreams": ["u1"], "model": "m" }]
    }
}"#;

fn now() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000)
}

fn parse(text: &str) -> Note {
    Note::parse(text).unwrap_or_else(|findings| panic!("{findings}"))
}

fn note(body: &str) -> Note {
    parse(&format!(r#"{{ "note": 2, "author": "rossi", {body} }}"#))
}

fn base() -> Directory {
    Directory::default().with_note(&parse(BASE))
}

fn places(findings: &Findings) -> Vec<String> {
    findings.iter().map(|f| f.place.to_string()).collect()
}

fn check(body: &str, moves: &[ActiveMove]) -> Vec<String> {
    places(&base().check(&note(body), now(), moves))
}

fn v2(body: &str) -> String {
    format!(
        r#""added": {{ "versions": [{{ "name": "v2", "service": "agronomo", "upstreams": ["u2"], {body} }}] }}"#
    )
}

fn moving() -> ActiveMove {
    ActiveMove {
        version: "v2".parse().unwrap(),
        replaces: "v1".parse().unwrap(),
    }
}

#[test]
fn all_findings_of_a_text_come_together_with_line_and_column() {
    let text = r#"{
  "note": "x",
  "author": "a b",
  "added": {
    "services": [{ "name": "s", "kind": "odd", "routes": [{ "name": "r", "tier": 300 }] }],
    "colour": 1
  }
}"#;
    let findings = Note::parse(text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "2:11 note",
            "3:13 author",
            "5:41 added.services[0].kind",
            "5:82 added.services[0].routes[0].tier",
            "5:59 added.services[0].routes[0].repeatable",
            "6:5 added.colour",
        ]
    );
}

#[test]
fn a_text_that_is_no_json_is_one_finding_with_its_place() {
    let findings = Note::parse("{\n  \"note\" 1 }").unwrap_err();
    assert_eq!(places(&findings), ["2:10"]);
}

#[test]
fn what_is_wrong_with_the_values_alone_is_found_when_parsing() {
    let text = r#"{ "note": 2, "author": "a", "added": {
"services": [{ "name": "s", "kind": "plain", "routes": [{ "name": "r", "tier": 0, "repeatable": true }] }],
"upstreams": [{ "name": "u", "service": "s", "kind": "plain", "address": "127.0.0.1:9", "data_centre": "d", "slots": 0 }],
"versions": [{ "name": "v", "service": "s", "upstreams": ["u", "u"], "replaces": "w" },
             { "name": "v", "service": "s", "upstreams": [], "move_by": "2026-12-03T05:00:00Z" }] } }"#;
    let findings = Note::parse(text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "5:24 added.versions[1].name",
            "2:80 added.services[0].routes[0].tier",
            "3:118 added.upstreams[0].slots",
            "4:64 added.versions[0].upstreams[1]",
            "4:14 added.versions[0].move_by",
            "5:58 added.versions[1].upstreams",
            "5:14 added.versions[1].replaces",
        ]
    );
}

#[test]
fn comments_and_the_order_of_fields_do_not_change_the_digest() {
    let plain = parse(r#"{"note":1,"author":"a","withdrawn":{"upstreams":["x"]}}"#);
    let other = parse(
        "// A comment.\n{\"withdrawn\": {\"upstreams\": [\"x\"], \"models\": []},\n\"author\": \"a\", \"note\": 1}",
    );
    assert_eq!(plain.digest(), other.digest());
    let content = parse(r#"{"note":1,"author":"a","withdrawn":{"upstreams":["y"]}}"#);
    assert_ne!(plain.digest(), content.digest());
}

#[test]
fn a_digest_stays_the_same_from_release_to_release() {
    let digest = parse(BASE).digest();
    assert_eq!(
        digest.to_string(),
        "4c8b0b88a5821b8d1d632772d457c25633f44aae1240968123389e546a12e854"
    );
}

#[test]
fn a_note_that_fits_has_no_findings() {
    let body = v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    assert_eq!(check(&body, &[]), Vec::<String>::new());
}

#[test]
fn references_must_be_known_and_names_new_or_known() {
    let body = r#""added": {
        "upstreams": [{ "name": "u1", "service": "none", "kind": "plain", "address": "127.0.0.1:9002",
                        "data_centre": "lodi", "slots": 4 }],
        "adapters": [{ "name": "a", "model": "none", "bytes": 1 }],
        "versions": [{ "name": "v9", "service": "agronomo", "upstreams": ["u9"], "model": "none" }] },
        "changed": { "models": [{ "name": "m9", "bytes": 1 }] },
        "withdrawn": { "client_accounts": ["nobody"] }"#;
    assert_eq!(
        check(body, &[]),
        [
            "added.upstreams[0].name",
            "changed.models[0].name",
            "withdrawn.client_accounts[0]",
            "added.adapters[0].model",
            "added.upstreams[0].service",
            "added.upstreams[0].address",
            "added.upstreams[0].service",
            "added.versions[0].upstreams[0]",
            "added.versions[0].model",
        ]
    );
}

#[test]
fn an_upstream_speaks_what_its_service_speaks() {
    let upstream = r#"{ "name": "u3", "service": "agronomo", "kind": "plain",
        "address": "127.0.0.1:9003", "data_centre": "lodi", "slots": 4 }"#;
    let body = format!(r#""added": {{ "upstreams": [{upstream}] }}"#);
    assert_eq!(check(&body, &[]), ["added.upstreams[0].kind"]);
}

#[test]
fn a_move_must_end_in_the_future_and_not_cross_another() {
    let past = v2(r#""replaces": "v1", "move_by": "2020-01-01T00:00:00Z""#);
    assert_eq!(check(&past, &[]), ["added.versions[0].move_by"]);
    let both = r#""added": { "versions": [
        { "name": "v3", "service": "agronomo", "upstreams": ["u2"], "replaces": "v1",
          "move_by": "2030-01-01T00:00:00Z" },
        { "name": "v4", "service": "agronomo", "upstreams": ["u2"], "replaces": "v1",
          "move_by": "2030-01-01T00:00:00Z" }] }"#;
    assert_eq!(check(both, &[]), ["added.versions[1].replaces"]);
    let body = v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    let directory = base().with_note(&note(&body));
    let third = r#""added": { "versions": [{ "name": "v3", "service": "agronomo",
        "upstreams": ["u2"], "replaces": "v1", "move_by": "2030-01-01T00:00:00Z" }] }"#;
    let findings = directory.check(&note(third), now(), &[moving()]);
    assert_eq!(places(&findings), ["added.versions[0].replaces"]);
    let instead = format!(r#"{third}, "withdrawn": {{ "versions": ["v2"] }}"#);
    let findings = directory.check(&note(&instead), now(), &[moving()]);
    assert!(findings.is_empty(), "{findings}");
}

#[test]
fn withdrawals_leave_no_service_without_upstreams_and_nothing_that_is_referred_to() {
    let cases = [
        (r#""upstreams": ["u1"]"#, "withdrawn.upstreams[0]"),
        (r#""versions": ["v1"]"#, "withdrawn.versions[0]"),
        (r#""models": ["m"]"#, "withdrawn.models[0]"),
        (r#""services": ["agronomo"]"#, "withdrawn.services[0]"),
    ];
    for (list, place) in cases {
        let body = format!(r#""withdrawn": {{ {list} }}"#);
        assert_eq!(check(&body, &[]), [place]);
    }
    let whole = r#""withdrawn": { "services": ["agronomo"], "upstreams": ["u1", "u2"],
        "versions": ["v1"], "models": ["m"] }"#;
    assert_eq!(check(whole, &[]), Vec::<String>::new());
}

#[test]
fn the_old_version_of_a_running_move_cannot_be_withdrawn() {
    let body = v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    let directory = base().with_note(&note(&body));
    let withdraw = note(r#""withdrawn": { "versions": ["v1"] }"#);
    let findings = directory.check(&withdraw, now(), &[moving()]);
    assert_eq!(places(&findings), ["withdrawn.versions[0]"]);
}

#[test]
fn a_withdrawn_version_gives_its_traffic_back_to_the_one_that_it_replaced() {
    let body = v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    let mut directory = base().with_note(&note(&body));
    let (old, new) = ("v1".parse().unwrap(), "v2".parse().unwrap());
    assert_eq!(directory.share(&new), Share::NONE);
    directory.shares.insert(old, Share(9_000));
    directory.shares.insert(new, Share(1_000));
    let withdraw = note(r#""withdrawn": { "versions": ["v2"] }"#);
    let next = directory.with_note(&withdraw);
    assert_eq!(next.share(&"v1".parse().unwrap()), Share::WHOLE);
    assert_eq!(next.share(&"v2".parse().unwrap()), Share::NONE);
}

#[test]
fn a_change_that_makes_another_version_is_refused() {
    let body = r#""changed": { "versions": [{ "name": "v1", "service": "agronomo",
        "upstreams": ["u1", "u2"] }] }"#;
    assert_eq!(check(body, &[]), ["changed.versions[0].model"]);
    let upstreams = r#""changed": { "versions": [{ "name": "v1", "service": "agronomo",
        "upstreams": ["u1", "u2"], "model": "m" }] }"#;
    assert_eq!(check(upstreams, &[]), Vec::<String>::new());
}
