use gooseberrylb_config::declaration::Text;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number::Revision;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::CatchUp;

use super::*;

/// Size of a declaration's text in bytes.
const TEXT_BYTES: usize = 20_000;

/// Returns a text that compresses as badly as one of random names.
fn text(version: u64) -> Arc<Text> {
    let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let source: String = std::iter::repeat_with(|| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        format!("{state:016x}")
    })
    .take(TEXT_BYTES / 16)
    .collect();
    Arc::new(Text::new(version, source.into()).unwrap())
}

/// Returns the next configuration, with a changed account.
fn next(directory: &Directory, share: u32, declaration: Option<Arc<Text>>) -> Directory {
    let mut next = directory.clone();
    let name = id::Account::new("a").unwrap();
    let account = note::Account {
        name: name.clone(),
        share,
    };
    next.accounts.insert(name, account);
    next.revision = next.revision.next();
    if declaration.is_some() {
        next.declaration = declaration;
    }
    next
}

/// Applies what a follower is sent, in order, as `follow::apply_update` does.
fn follow(follower: &mut Feed, sent: CatchUp) {
    match sent {
        CatchUp::None => {}
        CatchUp::Changes(changes) => {
            for change in &changes {
                assert!(follower.apply(change));
            }
        }
        CatchUp::Whole(directory) => assert!(follower.replace(&directory)),
    }
}

/// Guards against a process that keeps the text of each declaration of its history and passes the
/// memory of its machine.
#[test]
fn history_of_large_declarations_keeps_only_the_last_text() {
    let mut feed = Feed::default();
    let mut texts = Vec::new();
    for version in 1..=100 {
        let declaration = text(version);
        texts.push(Arc::downgrade(&declaration));
        let directory = next(feed.directory(), 1, Some(declaration));
        assert!(feed.replace(&directory));
    }
    let kept = texts.iter().filter(|text| text.upgrade().is_some()).count();
    assert_eq!(kept, 1);
    let all = codec::size(&feed.catch_up(Revision(1))).unwrap();
    let last = codec::size(&feed.catch_up(Revision(99))).unwrap();
    assert!(all.0 < 2 * last.0, "{all} for all changes, {last} for one");
}

#[test]
fn follower_at_any_revision_gets_the_latest_declaration() {
    let mut feed = Feed::default();
    let mut followers: Vec<Feed> = Vec::new();
    for version in 1..=12 {
        let declaration = (version % 3 == 1).then(|| text(version));
        let directory = next(feed.directory(), version as u32, declaration);
        assert!(feed.replace(&directory));
        let mut follower = Feed::default();
        follow(&mut follower, feed.catch_up(Revision(0)));
        followers.push(follower);
    }
    for follower in &mut followers {
        let since = follower.directory().revision;
        follow(follower, feed.catch_up(since));
        assert_eq!(follower.directory(), feed.directory());
        // A follower hands the configuration on as the leader does.
        let mut second = Feed::default();
        follow(&mut second, follower.catch_up(Revision(0)));
        assert_eq!(second.directory(), feed.directory());
    }
}

/// Guards against a history of changes that outgrows the configuration itself, which would be
/// cheaper to send and to keep.
#[test]
fn history_is_not_larger_than_the_configuration() {
    const ACCOUNTS: usize = 10_000;
    const ROUNDS: u32 = 8;
    let mut feed = Feed::default();
    for share in 1..=ROUNDS {
        let mut directory = next(feed.directory(), share, None);
        directory.accounts = (0..ACCOUNTS)
            .map(|i| {
                let name = id::Account::new(&format!("a{i}")).unwrap();
                let account = note::Account {
                    name: name.clone(),
                    share,
                };
                (name, account)
            })
            .collect();
        assert!(feed.replace(&directory));
        let whole = codec::size(&**feed.directory()).unwrap();
        assert!(feed.history <= whole, "{} of {whole}", feed.history);
    }
    assert!(matches!(feed.catch_up(Revision(1)), CatchUp::Whole(_)));
}
