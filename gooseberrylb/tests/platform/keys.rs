//! API keys that are withdrawn and added.

use std::thread;
use std::time::Duration;

use crate::fleet::{ENTRY, Fleet, KEY, declaration};

/// Header field with a key that no declaration holds at first.
const NEW_KEY: &str = "Authorization: Token key-3\r\n";

/// Returns a declaration with the given keys.
fn declaration_with_keys(version: u32, keys: &str) -> String {
    declaration(version, "").replace(r#"["key-1","key-2"]"#, keys)
}

/// Guards against a withdrawn key that counts as none on a route for anonymous requests.
#[test]
fn withdrawn_key_is_refused_on_routes_for_anonymous_requests() {
    let mut fleet = Fleet::start(39);
    fleet.start_entry(ENTRY + 1);
    let open = "/plain/inner/x";
    fleet.wait(|fleet| fleet.status(open) == "201");
    fleet.declare(&declaration_with_keys(9, r#"["key-2"]"#), 200);
    fleet.wait(|fleet| fleet.status("/plain/x") == "401");
    let is_refused = |fleet: &Fleet, field: &str| {
        let answer = fleet.call(open, field);
        answer.starts_with("HTTP/1.1 401")
    };
    let withdrawn = [
        KEY,
        "Authorization: token key-1\r\n",
        "Authorization: Token key-1\r\nAuthorization: Basic eA==\r\n",
    ];
    for field in withdrawn {
        assert!(is_refused(&fleet, field), "{field}");
    }
    for field in ["", "Authorization: Token key-2\r\n"] {
        let answer = fleet.call(open, field);
        assert!(answer.starts_with("HTTP/1.1 201"), "{field}: {answer}");
    }
    // An entry that is cut off from the upstreams has another one forward its requests.
    fleet.cut_off(Some(ENTRY));
    fleet.wait(|fleet| fleet.call(open, "").starts_with("HTTP/1.1 201"));
    assert!(is_refused(&fleet, KEY));
    let ran = fleet.received();
    let has_key = |request: &&String| request.contains("key-1");
    assert_eq!(ran.iter().find(has_key), None);
}

/// Guards against the refusal of a key whose declaration is on its way to the entry.
#[test]
fn request_with_a_key_that_is_being_added_is_served() {
    let fleet = Fleet::start(40);
    for (round, target) in (0..).zip(["/plain/x", "/plain/inner/x"]) {
        let key = NEW_KEY.replace("key-3", &format!("key-3{round}"));
        let keys = format!(r#"["key-1","key-3{round}"]"#);
        let answer = thread::scope(|scope| {
            let early = scope.spawn(|| fleet.call(target, &key));
            thread::sleep(Duration::from_millis(50));
            fleet.declare(&declaration_with_keys(9 + round, &keys), 200);
            early.join().unwrap()
        });
        assert!(answer.starts_with("HTTP/1.1 201"), "{target}: {answer}");
    }
}
