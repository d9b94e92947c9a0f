//! Parsing of notes, which reports all findings at once, and their validation against a
//! configuration.

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

fn add_v2(body: &str) -> String {
    format!(
        r#""added": {{ "versions": [{{ "name": "v2", "service": "agronomo", "upstreams": ["u2"], {body} }}] }}"#
    )
}

fn move_to_v2() -> ActiveMove {
    ActiveMove {
        version: "v2".parse().unwrap(),
        replaces: "v1".parse().unwrap(),
    }
}

#[test]
fn parsing_reports_all_findings_with_line_and_column() {
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
fn invalid_json_is_one_finding_with_its_place() {
    let findings = Note::parse("{\n  \"note\" 1 }").unwrap_err();
    assert_eq!(places(&findings), ["2:10"]);
}

#[test]
fn parsing_validates_values_without_a_configuration() {
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
fn digest_ignores_comments_and_field_order() {
    let plain = parse(r#"{"note":1,"author":"a","withdrawn":{"upstreams":["x"]}}"#);
    let other = parse(
        "// A comment.\n{\"withdrawn\": {\"upstreams\": [\"x\"], \"models\": []},\n\"author\": \"a\", \"note\": 1}",
    );
    assert_eq!(plain.digest(), other.digest());
    let content = parse(r#"{"note":1,"author":"a","withdrawn":{"upstreams":["y"]}}"#);
    assert_ne!(plain.digest(), content.digest());
}

#[test]
fn digest_is_stable_across_releases() {
    let digest = parse(BASE).digest();
    assert_eq!(
        digest.to_string(),
        "4c8b0b88a5821b8d1d632772d457c25633f44aae1240968123389e546a12e854"
    );
}

#[test]
fn valid_note_has_no_findings() {
    let body = add_v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    assert_eq!(check(&body, &[]), Vec::<String>::new());
}

#[test]
fn references_must_exist_and_added_names_be_new() {
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
fn upstream_kind_must_match_its_service() {
    let upstream = r#"{ "name": "u3", "service": "agronomo", "kind": "plain",
        "address": "127.0.0.1:9003", "data_centre": "lodi", "slots": 4 }"#;
    let body = format!(r#""added": {{ "upstreams": [{upstream}] }}"#);
    assert_eq!(check(&body, &[]), ["added.upstreams[0].kind"]);
}

#[test]
fn move_must_end_in_the_future_and_not_overlap_another() {
    let past = add_v2(r#""replaces": "v1", "move_by": "2020-01-01T00:00:00Z""#);
    assert_eq!(check(&past, &[]), ["added.versions[0].move_by"]);
    let both = r#""added": { "versions": [
        { "name": "v3", "service": "agronomo", "upstreams": ["u2"], "replaces": "v1",
          "move_by": "2030-01-01T00:00:00Z" },
        { "name": "v4", "service": "agronomo", "upstreams": ["u2"], "replaces": "v1",
          "move_by": "2030-01-01T00:00:00Z" }] }"#;
    assert_eq!(check(both, &[]), ["added.versions[1].replaces"]);
    let body = add_v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    let directory = base().with_note(&note(&body));
    let third = r#""added": { "versions": [{ "name": "v3", "service": "agronomo",
        "upstreams": ["u2"], "replaces": "v1", "move_by": "2030-01-01T00:00:00Z" }] }"#;
    let findings = directory.check(&note(third), now(), &[move_to_v2()]);
    assert_eq!(places(&findings), ["added.versions[0].replaces"]);
    let instead = format!(r#"{third}, "withdrawn": {{ "versions": ["v2"] }}"#);
    let findings = directory.check(&note(&instead), now(), &[move_to_v2()]);
    assert!(findings.is_empty(), "{findings}");
}

#[test]
fn withdrawals_must_not_break_services_or_references() {
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
fn old_version_of_an_active_move_cannot_be_withdrawn() {
    let body = add_v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
    let directory = base().with_note(&note(&body));
    let withdraw = note(r#""withdrawn": { "versions": ["v1"] }"#);
    let findings = directory.check(&withdraw, now(), &[move_to_v2()]);
    assert_eq!(places(&findings), ["withdrawn.versions[0]"]);
}

#[test]
fn withdrawn_version_returns_its_traffic_to_its_predecessor() {
    let body = add_v2(r#""replaces": "v1", "move_by": "2030-01-01T00:00:00Z""#);
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
fn change_of_a_versions_identity_is_rejected() {
    let body = r#""changed": { "versions": [{ "name": "v1", "service": "agronomo",
        "upstreams": ["u1", "u2"] }] }"#;
    assert_eq!(check(body, &[]), ["changed.versions[0].model"]);
    let upstreams = r#""changed": { "versions": [{ "name": "v1", "service": "agronomo",
        "upstreams": ["u1", "u2"], "model": "m" }] }"#;
    assert_eq!(check(upstreams, &[]), Vec::<String>::new());
}
