use super::*;

/// Guards against a peer that does not answer and whose messages fill the memory.
#[test]
fn unanswered_messages_of_a_peer_are_bounded_by_size() {
    for size in [100, 400_000, 30_000_000].map(Bytes) {
        let messages = Messages::default();
        let mut count = 0;
        while messages.has_room() {
            messages.begin(size);
            count += 1;
        }
        let total = Bytes(count * size.0);
        assert!(
            total.0 < MAX_SIZE.0 + size.0,
            "{total} in messages of {size}"
        );
        // A message of any size can be sent when nothing else is under way.
        assert!(count >= 1);
        messages.end(size);
        assert!(messages.has_room());
    }
}
