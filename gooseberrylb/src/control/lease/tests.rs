use std::time::Duration;

use gooseberrylb_config::settings::{Deployment, Settings};

use super::{MAX_DURATION, MIN_DURATION, duration};

/// Returns settings with further fields of the deployment.
fn deployment(fields: &str) -> Deployment {
    let text = format!(
        r#"{{ "name": "127.0.0.1", "data_centre": "lodi", "region": "padana", "callers": "127.0.0.1:9",
            "operators": "127.0.0.1:10", "peers_listen": "127.0.0.1:11", "cluster_key_file": "key",
            "operator_token_file": "token", "deployment": {{ "seeds": ["127.0.0.1:12"], "first_start": true,
            "feed": "127.0.0.1:13", "grace_s": 8, "retry_share": 0.2, "retry_slack": 50, "retry_window_s": 10,
            "quota_window_s": 8 {fields} }} }}"#
    );
    Settings::parse(&text).unwrap().deployment.unwrap()
}

#[test]
fn lease_ends_before_a_change_must_be_in_force() {
    let ms = Duration::from_millis;
    for (fields, expected) in [
        ("", MAX_DURATION),
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
            MAX_DURATION,
        ),
        (r#", "change_limit_ms": 500"#, MIN_DURATION),
    ] {
        assert_eq!(
            duration(Some(&deployment(fields))),
            expected,
            "with {fields}"
        );
    }
    assert_eq!(duration(None), MAX_DURATION);
}
