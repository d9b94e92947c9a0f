//! Orders to engines under lost answers, duplicates and changes of the leader.

use std::time::{Duration, Instant};

use gooseberrylb_config::{id, number};
use gooseberrylb_policy::moves::order::{Answer, Input, Kind, Message, Order, Tracker};

const OLD_FENCING: number::Fencing = number::Fencing(4);
const NEW_FENCING: number::Fencing = number::Fencing(5);

fn order() -> Order {
    let upstream = id::Upstream::new("agronomo-07").unwrap();
    let kind = Kind::LoadModel(id::Model::new("grande").unwrap());
    Order::new(number::Note(12), upstream, kind)
}

fn answer(answer: Answer) -> Input {
    Input::Answer(order().id, answer)
}

/// Requests the order and answers the query with `Unknown`, so that the order is sent.
fn send_order(tracker: &mut Tracker, now: Instant) {
    let messages = tracker.step(now, Input::Request(order()));
    assert_eq!(messages, [Message::Query(order())]);
    let sent = tracker.step(now, answer(Answer::Unknown));
    assert_eq!(sent, [Message::Send(order(), OLD_FENCING)]);
}

#[test]
fn order_is_sent_once_and_confirmed() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    assert_eq!(tracker.step(now, Input::Request(order())), []);
    assert_eq!(tracker.step(now, answer(Answer::Done)), []);
    assert!(tracker.confirmed().contains(&order().id));
    let later = now + Duration::from_secs(3600);
    assert_eq!(tracker.step(later, Input::Tick), []);
}

#[test]
fn order_is_queried_after_a_lost_answer() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    assert_eq!(tracker.step(now, Input::Lost(order().id)), []);
    assert!(tracker.confirmed().is_empty());
    let later = now + Duration::from_secs(2);
    assert_eq!(tracker.step(later, Input::Tick), [Message::Query(order())]);
    tracker.step(later, answer(Answer::Done));
    assert!(tracker.confirmed().contains(&order().id));
}

#[test]
fn engine_is_queried_after_a_timeout() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    assert_eq!(tracker.step(now + Duration::from_secs(1), Input::Tick), []);
    let later = now + Duration::from_secs(6);
    assert_eq!(tracker.step(later, Input::Tick), [Message::Query(order())]);
}

#[test]
fn new_leader_waits_for_the_lease_and_queries_before_sending() {
    let now = Instant::now();
    let from = now + Duration::from_secs(3);
    let mut tracker = Tracker::new(NEW_FENCING, from);
    assert_eq!(tracker.step(now, Input::Request(order())), []);
    let early = from - Duration::from_millis(1);
    assert_eq!(tracker.step(early, Input::Tick), []);
    assert_eq!(tracker.step(from, Input::Tick), [Message::Query(order())]);
    assert_eq!(tracker.step(from, answer(Answer::Done)), []);
    assert!(tracker.confirmed().contains(&order().id));
}

#[test]
fn stopped_tracker_sends_nothing() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    assert_eq!(tracker.step(now, Input::Stop), []);
    let later = now + Duration::from_secs(60);
    assert_eq!(tracker.step(later, Input::Request(order())), []);
    assert_eq!(tracker.step(later, answer(Answer::Unknown)), []);
    assert!(tracker.is_stopped());
}

#[test]
fn higher_fencing_number_stops_the_tracker() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    assert_eq!(tracker.step(now, answer(Answer::Fenced(NEW_FENCING))), []);
    assert!(tracker.is_stopped());
    assert_eq!(tracker.step(now + Duration::from_secs(60), Input::Tick), []);
}

#[test]
fn refusal_reason_is_kept() {
    let now = Instant::now();
    let mut tracker = Tracker::new(OLD_FENCING, now);
    send_order(&mut tracker, now);
    tracker.step(now, answer(Answer::Refused("no memory".into())));
    assert_eq!(&*tracker.refused()[&order().id], "no memory");
}
