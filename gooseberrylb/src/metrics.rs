//! Prometheus metrics for operators. `docs/OPERATING.md` lists them.

use std::sync::LazyLock;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 10.0, 30.0];

/// Metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by service, tier and outcome.
    pub requests: IntCounterVec,
    /// Refused requests by service, tier and reason.
    pub refusals: IntCounterVec,
    /// Tokens by service, tier and kind: read, cached, written or wasted.
    pub tokens: IntCounterVec,
    /// Time from a caller's request to the first byte of the response, in seconds.
    pub first_token: HistogramVec,
    /// Requests queued at this instance's schedulers, by service and tier.
    pub waiting: IntGaugeVec,
    /// Requests of callers in flight.
    pub in_flight: IntGauge,
    /// Open connections by listener.
    pub connections: IntGaugeVec,
    /// Connections refused at the limit, by listener.
    pub connections_refused: IntCounterVec,
    /// Revision of the configuration that this instance routes by.
    pub revision: IntGauge,
    /// 1 while the configuration is fresh.
    pub fresh: IntGauge,
    /// 1 while this instance is the leader.
    pub leader: IntGauge,
    /// Current term of the control state.
    pub term: IntGauge,
    /// Index of the last committed log entry.
    pub committed: IntGauge,
    /// Number of voters that may be lost before there is no quorum, on the leader; -1 on all others.
    pub losses_borne: IntGauge,
    /// Syncs of the journal, by result.
    pub journal_syncs: IntCounterVec,
    /// Time that a write of the journal takes with its sync, in seconds.
    pub journal_sync_seconds: Histogram,
    /// Moves by phase.
    pub moves: IntGaugeVec,
    /// Connections opened to upstreams.
    pub upstream_connections: IntCounter,
    /// Times that an entry got no answer from the dispatcher.
    pub dispatcher_lost: IntCounter,
    /// Requests placed by an entry without the dispatcher.
    pub placed_alone: IntCounter,
    /// Decisions of this instance's dispatcher, by kind.
    pub decisions: IntCounterVec,
    /// Pauses that the sessions with entries made for the other tasks of the control thread.
    pub session_pauses: IntCounter,
    /// Requests offered between the dispatchers of different shards, by direction and outcome.
    pub offers: IntCounterVec,
    /// Statements of upstreams on their availability, by kind.
    pub statements: IntCounterVec,
    /// Requests and parts of prompts that were blocked, or served after a crash, as learned by this
    /// instance.
    pub crash_causes: IntCounterVec,
    /// Blocks of causes of crashes, as learned by this instance, by kind.
    pub crash_blocks: IntCounterVec,
    /// Requests that this entry refused because of a blocked cause, by kind of the cause.
    pub crash_refusals: IntCounterVec,
    /// Requests with a blocked cause that this entry sent to find out whether the block is wrong, by
    /// kind of the cause.
    pub crash_trials: IntCounterVec,
    /// Blocks that were lifted at this entry since the cause was served, by kind.
    pub crash_blocks_lifted: IntCounterVec,
    /// Requests of callers that other entries forward, by event.
    pub delegated: IntCounterVec,
    /// 1 while this entry is cut off from the upstreams, else 0.
    pub cut_off: IntGauge,
    /// Second copies of slow requests, by event.
    pub copies: IntCounterVec,
    /// Panics that ended a connection and not the process.
    pub panics: IntCounter,
    /// Bytes of responses that are being written to callers.
    pub held_bytes: IntGauge,
    /// Bytes that are reserved for bodies of requests and responses.
    pub body_bytes: IntGauge,
    /// Number of bodies that wait for memory.
    pub waiting_bodies: IntGauge,
    /// Callers that were cut off since they did not read their responses.
    pub stalled_callers: IntCounter,
    /// Evacuated data centres, as the leader knows.
    pub evacuations: IntGauge,
    /// Requests that this instance's dispatcher granted to cold upstreams.
    pub cold_grants: IntCounter,
    /// Time by which timers of the control thread fire late, in seconds.
    pub control_lag: Histogram,
    /// Time that a read of the platform's list of upstreams takes, in seconds.
    pub list_read: Histogram,
    /// Gateway requests, by response status or other outcome.
    pub gateway_requests: IntCounterVec,
    /// Time from the head of a gateway request to its end, in seconds.
    pub gateway_seconds: Histogram,
    /// Streams resumed after a broken connection, by service.
    pub resumed: IntCounterVec,
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters =
        IntCounterVec::new(Opts::new(name, help), labels).expect("metric options are valid");
    registry
        .register(Box::new(counters.clone()))
        .expect("metric names are unique");
    counters
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric options are valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("metric names are unique");
    counter
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(options).expect("metric options are valid");
    registry
        .register(Box::new(histogram.clone()))
        .expect("metric names are unique");
    histogram
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric options are valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("metric names are unique");
    gauge
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric options are valid");
    registry
        .register(Box::new(gauges.clone()))
        .expect("metric names are unique");
    gauges
}

fn histograms(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let histograms = HistogramVec::new(options, labels).expect("metric options are valid");
    registry
        .register(Box::new(histograms.clone()))
        .expect("metric names are unique");
    histograms
}

impl Metrics {
    fn new() -> Self {
        let r = Registry::new_custom(Some("gooseberrylb".into()), None)
            .expect("metric prefix is valid");
        Self {
            requests: counters(
                &r,
                "requests_total",
                "Requests by outcome.",
                &["service", "tier", "outcome"],
            ),
            refusals: counters(
                &r,
                "refusals_total",
                "Requests refused, by reason.",
                &["service", "tier", "reason"],
            ),
            tokens: counters(
                &r,
                "tokens_total",
                "Tokens read, cached, written or wasted.",
                &["service", "tier", "kind"],
            ),
            first_token: histograms(
                &r,
                "first_token_seconds",
                "Time to the first byte of the answer.",
                &["service", "tier"],
            ),
            waiting: gauges(
                &r,
                "waiting_requests",
                "Requests waiting.",
                &["service", "tier"],
            ),
            in_flight: gauge(&r, "in_flight_requests", "Requests held for callers."),
            connections: gauges(&r, "connections", "Open connections.", &["listener"]),
            connections_refused: counters(
                &r,
                "connections_refused_total",
                "Connections refused for want of room.",
                &["listener"],
            ),
            revision: gauge(
                &r,
                "configuration_revision",
                "The configuration's revision.",
            ),
            fresh: gauge(
                &r,
                "configuration_fresh",
                "1 while the configuration is fresh.",
            ),
            leader: gauge(&r, "leader", "1 while this instance leads."),
            term: gauge(&r, "term", "The term of the control state."),
            committed: gauge(
                &r,
                "committed_index",
                "The last committed entry of the log.",
            ),
            losses_borne: gauge(
                &r,
                "losses_borne",
                "How many more voters may be lost before there is no quorum; -1 unless this instance leads.",
            ),
            journal_syncs: counters(&r, "journal_syncs_total", "Journal syncs.", &["result"]),
            journal_sync_seconds: histogram(
                &r,
                "journal_sync_seconds",
                "Time that a write of the journal takes with its sync.",
            ),
            moves: gauges(&r, "moves", "Moves between versions by phase.", &["phase"]),
            upstream_connections: counter(
                &r,
                "upstream_connections_total",
                "Connections opened to upstreams.",
            ),
            dispatcher_lost: counter(
                &r,
                "dispatcher_lost_total",
                "Times that the dispatcher did not answer.",
            ),
            placed_alone: counter(
                &r,
                "placed_alone_total",
                "Requests placed without the dispatcher.",
            ),
            decisions: counters(&r, "decisions_total", "Decisions by kind.", &["decision"]),
            session_pauses: counter(
                &r,
                "session_pauses_total",
                "Pauses of the sessions with entries for other tasks.",
            ),
            offers: counters(
                &r,
                "offers_total",
                "Requests offered between shards, by direction and outcome.",
                &["direction", "outcome"],
            ),
            statements: counters(
                &r,
                "upstream_statements_total",
                "Statements of upstreams on their availability, by kind.",
                &["kind"],
            ),
            crash_causes: counters(
                &r,
                "crash_causes_total",
                "Requests and parts of prompts that were blocked, or served after a crash, by event.",
                &["event"],
            ),
            crash_blocks: counters(
                &r,
                "crash_blocks_total",
                "Blocks of causes of crashes that this instance learned of, by kind.",
                &["kind"],
            ),
            crash_refusals: counters(
                &r,
                "crash_refusals_total",
                "Requests refused because of a blocked cause of crashes, by kind.",
                &["kind"],
            ),
            crash_trials: counters(
                &r,
                "crash_trials_total",
                "Requests with a blocked cause of crashes that were tried again, by kind.",
                &["kind"],
            ),
            crash_blocks_lifted: counters(
                &r,
                "crash_blocks_lifted_total",
                "Blocks of causes of crashes that were lifted as wrong at this entry, by kind.",
                &["kind"],
            ),
            delegated: counters(
                &r,
                "delegated_requests_total",
                "Requests that another entry forwards, or declined to, by event.",
                &["event"],
            ),
            cut_off: gauge(
                &r,
                "cut_off",
                "Whether this entry is cut off from the upstreams.",
            ),
            copies: counters(
                &r,
                "copies_total",
                "Second copies of slow requests that won, lost or were refused.",
                &["event"],
            ),
            panics: counter(
                &r,
                "panics_total",
                "Panics that ended a connection and not the process.",
            ),
            held_bytes: gauge(
                &r,
                "held_response_bytes",
                "Bytes of responses that callers have not read yet.",
            ),
            body_bytes: gauge(
                &r,
                "body_bytes",
                "Bytes reserved for bodies of requests and responses.",
            ),
            waiting_bodies: gauge(&r, "waiting_bodies", "Bodies that wait for memory."),
            stalled_callers: counter(
                &r,
                "stalled_callers_total",
                "Callers cut off since they did not read their responses.",
            ),
            evacuations: gauge(&r, "evacuations", "Evacuated data centres."),
            cold_grants: counter(
                &r,
                "cold_grants_total",
                "Requests granted to upstreams that were cold.",
            ),
            control_lag: histogram(
                &r,
                "control_lag_seconds",
                "Time by which timers of the control thread fire late.",
            ),
            list_read: histogram(
                &r,
                "list_read_seconds",
                "Time that a read of the list of upstreams takes.",
            ),
            gateway_requests: counters(
                &r,
                "gateway_requests_total",
                "Declared requests by their end.",
                &["outcome"],
            ),
            gateway_seconds: histogram(
                &r,
                "gateway_seconds",
                "Time from a declared request's head to its end.",
            ),
            resumed: counters(
                &r,
                "streams_resumed_total",
                "Streams resumed.",
                &["service"],
            ),
            registry: r,
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# cannot encode the metrics: {error}\n"),
        }
    }
}

/// Metrics of this process.
pub static METRICS: LazyLock<Metrics> = LazyLock::new(Metrics::new);
