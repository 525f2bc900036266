//! News of silent upstreams on the wire.

use std::time::Duration;

use health::{News, Sent};
use peer_proto::v1;
use steer::UpstreamId;
use steer::acknowledgements::AcknowledgementTally;

/// Encodes what the other entries are to be told.
pub fn encode(news: &[News<UpstreamId>]) -> Vec<u8> {
    let upstreams = news.iter().map(|news| {
        let ages = |kind: Sent| {
            let of_kind = news.unanswered.iter().filter(move |(sent, _)| *sent == kind);
            of_kind.map(|(_, age)| millis(*age)).collect()
        };
        v1::UpstreamSilence {
            upstream: news.key.0,
            openings_ms: ages(Sent::Opening),
            requests_ms: ages(Sent::Request),
            queued_requests_ms: ages(Sent::QueuedRequest),
            alive_ms: news.alive.map(millis),
        }
    });
    let silences = v1::Silences { upstreams: upstreams.collect(), services: Vec::new() };
    peer_proto::encode_reach(v1::reach::Kind::Silences(silences))
}

/// Encodes how the upstreams of services acknowledge requests.
pub fn encode_acknowledgements(news: &[(u64, AcknowledgementTally)]) -> Vec<u8> {
    let services = news.iter().map(|(service, tally)| v1::ServiceAcknowledgements {
        service: *service,
        at_once: tally.at_once,
        late: tally.late,
    });
    let silences = v1::Silences { upstreams: Vec::new(), services: services.collect() };
    peer_proto::encode_reach(v1::reach::Kind::Silences(silences))
}

/// Decodes how the upstreams of services acknowledge requests.
pub fn decode_acknowledgements(silences: &v1::Silences) -> Vec<(u64, AcknowledgementTally)> {
    let decode = |told: &v1::ServiceAcknowledgements| {
        (told.service, AcknowledgementTally { at_once: told.at_once, late: told.late })
    };
    silences.services.iter().map(decode).collect()
}

/// Decodes what another entry tells.
pub fn decode(silences: &v1::Silences) -> Vec<News<UpstreamId>> {
    let news = silences.upstreams.iter().map(|upstream| {
        let openings = upstream.openings_ms.iter().map(|age| (Sent::Opening, age));
        let requests = upstream.requests_ms.iter().map(|age| (Sent::Request, age));
        let queued = upstream.queued_requests_ms.iter().map(|age| (Sent::QueuedRequest, age));
        let unanswered = openings.chain(requests).chain(queued);
        let age = |millis: &u32| Duration::from_millis(u64::from(*millis));
        News {
            key: UpstreamId(upstream.upstream),
            unanswered: unanswered.map(|(sent, ms)| (sent, age(ms))).collect(),
            alive: upstream.alive_ms.as_ref().map(age),
        }
    });
    news.collect()
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
