//! Parsing of settings, which reports all findings at once, including those about files that the
//! settings refer to.

use std::fs;

use gooseberrylb_config::finding::Findings;
use gooseberrylb_config::settings::{Limits, Secret, Settings};

const VALID: &str = r#"{
  "name": "lodi-1", "data_centre": "lodi", "region": "padana", // A comment.
  "callers": "127.0.0.1:7001", "operators": "127.0.0.1:7101", "peers_listen": "127.0.0.1:7201",
  "peers": [{ "name": "lodi-1", "address": "127.0.0.1:7201", "voter": true }],
  "data_folder": "data",
  "cluster_key_file": "cluster.key",
  "operator_token_file": "operator.token",
}"#;

fn places(findings: &Findings) -> Vec<String> {
    findings.iter().map(|f| f.place.to_string()).collect()
}

#[test]
fn missing_optional_fields_take_their_defaults() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.limits, Limits::default());
    assert!(settings.peers[0].voter);
}

#[test]
fn parsing_reports_all_findings_with_line_column_and_path() {
    let text = r#"{
  "name": "lodi-1", "data_centre": "", "region": "padana",
  "callers": "127.0.0.1:7001", "operators": "127.0.0.1:7001", "peers_listen": "0.0.0.0:7201",
  "peers": [{ "name": "x", "address": "localhost:1" }],
  "limits": { "body_bytes": 0, "idle_ms": "long", "speed": 3 },
  "cluster_key_file": "k"
}"#;
    let findings = Settings::parse(text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "2:36 data_centre",
            "4:39 peers[0].address",
            "1:1 operator_token_file",
            "5:43 limits.idle_ms",
            "5:51 limits.speed",
            "3:45 operators",
            "3:79 peers_listen",
            "5:29 limits.body_bytes",
        ]
    );
    let corrected = text
        .replace("\"\"", "\"lodi\"")
        .replace("localhost:1", "127.0.0.1:1")
        .replace("\"long\", \"speed\": 3", "5")
        .replace("\"k\"", "\"k\", \"operator_token_file\": \"t\"");
    let findings = Settings::parse(&corrected).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "3:45 operators",
            "3:79 peers_listen",
            "5:29 limits.body_bytes"
        ]
    );
}

#[test]
fn peers_must_have_unique_names_and_addresses() {
    let peers = r#""peers": [{ "name": "a", "address": "127.0.0.1:1" },
      { "name": "a", "address": "127.0.0.1:1" }, { "name": "b", "address": "127.0.0.1:7201" }],"#;
    let text = VALID.replace(
        "\"peers\": [{ \"name\": \"lodi-1\", \"address\": \"127.0.0.1:7201\", \"voter\": true }],",
        peers,
    );
    let findings = Settings::parse(&text).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "5:17 peers[1].name",
            "5:33 peers[1].address",
            "5:76 peers[2].address"
        ]
    );
}

#[test]
fn load_checks_files_and_resolves_paths_relative_to_the_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    assert_eq!(places(&Settings::load(&path).unwrap_err()).len(), 1);
    fs::write(&path, VALID).unwrap();
    fs::write(folder.path().join("operator.token"), "short").unwrap();
    let findings = Settings::load(&path).unwrap_err();
    assert_eq!(
        places(&findings),
        [
            "6:23 cluster_key_file",
            "7:26 operator_token_file",
            "5:18 data_folder"
        ]
    );
    fs::write(folder.path().join("operator.token"), "0123456789abcdef\n").unwrap();
    fs::write(folder.path().join("cluster.key"), "0123456789abcdef").unwrap();
    fs::create_dir(folder.path().join("data")).unwrap();
    let settings = Settings::load(&path).unwrap();
    assert_eq!(settings.data_folder, Some(folder.path().join("data")));
    let token = settings.operator_token().unwrap();
    assert!(token.matches("0123456789abcdef") && !token.matches("0123456789abcdee"));
}

#[test]
fn debug_output_hides_secrets() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("key");
    fs::write(&path, "0123456789abcdef").unwrap();
    let secret = Secret::read(&path).unwrap();
    assert_eq!(format!("{secret:?}"), "Secret(..)");
}

#[test]
fn weight_store_rate_needs_a_store_and_must_not_be_zero() {
    let with =
        |fields: &str| VALID.replace("\"data_folder\"", &format!("{fields} \"data_folder\""));
    let alone = with("\"weight_store_bytes_per_second\": 5,");
    let zero = with("\"weight_store\": \"127.0.0.1:1\", \"weight_store_bytes_per_second\": 0,");
    for text in [&alone, &zero] {
        let findings = places(&Settings::parse(text).unwrap_err());
        assert_eq!(findings.len(), 1, "{findings:?}");
        assert!(findings[0].ends_with("weight_store_bytes_per_second"));
    }
    let settings = Settings::parse(&zero.replace("second\": 0", "second\": 5")).unwrap();
    assert_eq!(settings.weight_store_bytes_per_second, Some(5));
}

const ON_A_PLATFORM: &str = r#"{
  "name": "10.1.0.16", "data_centre": "lodi", "region": "padana",
  "callers": "10.1.0.16:7001", "operators": "10.1.0.16:7101", "peers_listen": "10.1.0.16:7600",
  "cluster_key_file": "cluster.key",
  "operator_token_file": "operator.token",
  "deployment": {
    "seeds": ["10.2.0.6:8229"], "first_start": true, "feed": "10.200.0.35:8225",
    "grace_s": 8, "retry_share": 0.2, "retry_slack": 52, "retry_window_s": 10,
    "quota_window_s": 8,
  },
}"#;

/// A restarted voter must reach the other voters, which need not be among its seeds.
#[test]
fn peer_address_on_a_platform_follows_from_the_name() {
    let settings = Settings::parse(ON_A_PLATFORM).unwrap();
    let address = settings.peer_address(&"10.3.0.34".parse().unwrap());
    assert_eq!(address, Some("10.3.0.34:7600".parse().unwrap()));
    let without_platform = Settings::parse(VALID).unwrap();
    assert_eq!(
        without_platform.peer_address(&"10.3.0.34".parse().unwrap()),
        None
    );
}

#[test]
fn instance_on_a_platform_must_be_named_by_its_ip_address() {
    let text = ON_A_PLATFORM.replace("\"10.1.0.16\"", "\"cremona-1\"");
    let findings = Settings::parse(&text).unwrap_err();
    assert_eq!(places(&findings), ["2:11 name"]);
}
