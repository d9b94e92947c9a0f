//! Serialization and compression of a declaration's text.

use std::sync::Arc;

use gooseberrylb_config::declaration::Text;

/// Number of routes in a large operator's declaration.
const ROUTES: usize = 1_773;

fn large_declaration() -> Arc<str> {
    let routes: Vec<String> = (0..ROUTES as u64)
        .map(|i| {
            let hash = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!(
                r#"{{"name":"r-{:07x}","host":"h{}.example","path-prefix":"/p{:06x}/","kind":"safe","timeout-ms":6000,"target-latency-ms":1200,"priority":1,"service":"s{}","max-attempts":1,"allow-anonymous":false}}"#,
                hash >> 36,
                i % 7,
                hash & 0xff_ffff,
                i % 3,
            )
        })
        .collect();
    format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(",")).into()
}

#[test]
fn text_round_trips_unchanged() {
    for source in ["", "{}", "  {\"version\": 7}\n è", &large_declaration()] {
        let text = Text::new(7, source.into()).unwrap();
        let bytes = postcard::to_stdvec(&text).unwrap();
        let read: Text = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read, text);
        assert_eq!(&**read.source(), source);
        assert_eq!(read.version(), 7);
    }
}

#[test]
fn large_text_compresses_to_a_fifth_of_its_size() {
    let source = large_declaration();
    let text = Text::new(7, source.clone()).unwrap();
    let bytes = postcard::to_stdvec(&text).unwrap();
    assert!(
        bytes.len() * 5 <= source.len(),
        "{} of {}",
        bytes.len(),
        source.len()
    );
}

#[test]
fn truncated_or_invalid_data_is_rejected() {
    let text = Text::new(7, large_declaration()).unwrap();
    let mut bytes = postcard::to_stdvec(&text).unwrap();
    bytes.truncate(bytes.len() / 2);
    assert!(postcard::from_bytes::<Text>(&bytes).is_err());
    let garbage = postcard::to_stdvec(&(7_u64, [1_u8, 2, 3].as_slice())).unwrap();
    assert!(postcard::from_bytes::<Text>(&garbage).is_err());
}
