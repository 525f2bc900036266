//! Selection of upstreams, limits, slow start, shares and token buckets.

use std::net::Ipv4Addr;
use std::time::Duration;

use balance::{Limits, Pool, Refusal, Share, Spec, TokenBucket};
use proptest::prelude::*;
use stdx::time::Timestamp;

const START: Timestamp = Timestamp::from_secs(1_000);

const LIMITS: Limits =
    Limits { flows: 100, cold_flows: 20, cold_opens_per_s: 40, ramp: Duration::from_secs(10) };

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 2, 0, n)
}

fn spec(n: u8, weight: u32) -> Spec {
    Spec { upstream: ip(n), weight, eligible: true, limits: LIMITS }
}

fn pool(specs: &[Spec]) -> Pool {
    let mut pool = Pool::default();
    pool.apply(START, specs);
    pool
}

/// Opens as many flows as possible at `now` and returns their number.
fn fill(pool: &mut Pool, now: Timestamp, share: Share) -> u32 {
    std::iter::repeat_with(|| pool.open(now, share, &[])).take_while(Result::is_ok).count() as u32
}

#[test]
fn open_by_weight() {
    let warm = START + LIMITS.ramp;
    let mut pool = pool(&[spec(1, 1), spec(2, 3)]);
    for _ in 0..80 {
        pool.open(warm, Share::SOLE, &[]).expect("room");
    }
    assert_eq!((pool.open_flows(ip(1)), pool.open_flows(ip(2))), (20, 60));
}

#[test]
fn open_none_eligible() {
    let mut pool = pool(&[Spec { eligible: false, ..spec(1, 1) }]);
    assert_eq!(pool.open(START, Share::SOLE, &[]), Err(Refusal::NoneEligible));
}

#[test]
fn open_excluded() {
    let mut pool = pool(&[spec(1, 1), spec(2, 1)]);
    assert_eq!(pool.open(START, Share::SOLE, &[ip(1)]), Ok(ip(2)));
    assert_eq!(pool.open(START, Share::SOLE, &[ip(1), ip(2)]), Err(Refusal::AllAtLimit));
}

/// An upstream is cold again after it became eligible again or was marked cold.
#[test]
fn open_eligible_again_is_cold() {
    let warm = START + LIMITS.ramp;
    let mut pool = pool(&[spec(1, 1)]);
    assert_eq!(fill(&mut pool, warm, Share::SOLE), 100);
    pool.apply(warm, &[Spec { eligible: false, ..spec(1, 1) }]);
    (0..100).for_each(|_| pool.close(ip(1)));
    pool.apply(warm, &[spec(1, 1)]);
    assert!(fill(&mut pool, warm, Share::SOLE) <= 20);
    pool.mark_cold(warm + LIMITS.ramp, ip(1));
    (0..100).for_each(|_| pool.close(ip(1)));
    assert!(fill(&mut pool, warm + LIMITS.ramp, Share::SOLE) <= 20);
}

/// An earlier ramp start from a peer shortens the ramp; a later one does not lengthen it.
#[test]
fn learn_cold_since_takes_earlier_only() {
    let mut pool = pool(&[spec(1, 1)]);
    pool.learn_cold_since(ip(1), START + Duration::from_secs(5));
    assert!(fill(&mut pool, START, Share::SOLE) <= 20);
    let earlier = Timestamp(START.0 - 20_000_000);
    pool.learn_cold_since(ip(1), earlier);
    fill(&mut pool, START, Share::SOLE);
    assert_eq!(pool.open_flows(ip(1)), 100);
}

/// An upstream with repeated failures is avoided for some time and then starts cold.
#[test]
fn open_failing_is_avoided() {
    let warm = START + LIMITS.ramp;
    let mut pool = pool(&[spec(1, 1), spec(2, 1)]);
    pool.record_failure(warm, ip(1));
    assert_eq!(pool.open(warm, Share::SOLE, &[]), Ok(ip(1)), "avoided after one failure");
    pool.record_failure(warm, ip(1));
    let chosen: Vec<_> = (0..99).map(|_| pool.open(warm, Share::SOLE, &[])).collect();
    assert!(chosen.iter().all(|chosen| *chosen == Ok(ip(2))));
    pool.open(warm, Share::SOLE, &[]).expect("room");
    assert_eq!(
        pool.open(warm, Share::SOLE, &[]),
        Ok(ip(1)),
        "an avoided upstream is used if no other has room"
    );
    let later = warm + Duration::from_secs(1);
    (0..50).for_each(|_| pool.close(ip(2)));
    assert_eq!(pool.open(later, Share::SOLE, &[]), Ok(ip(1)));
    assert!(fill(&mut pool, later, Share::SOLE) < 150, "not cold");
}

/// A success ends the avoidance.
#[test]
fn open_after_success() {
    let mut pool = pool(&[spec(1, 1), spec(2, 3)]);
    (0..5).for_each(|_| pool.record_failure(START, ip(2)));
    assert_eq!(pool.open(START, Share::SOLE, &[]), Ok(ip(1)));
    pool.record_success(ip(2));
    assert_eq!(pool.open(START, Share::SOLE, &[]), Ok(ip(2)));
}

#[test]
fn token_bucket_refills() {
    let mut bucket = TokenBucket::new(START, 2.0, 1.0);
    assert!(bucket.take(START, 2.0));
    assert!(!bucket.take(START, 1.0));
    assert!(bucket.take(START + Duration::from_secs(1), 1.0));
    assert!(!bucket.take(START, 0.5), "a clock jump back adds no tokens");
}

proptest! {
    /// The entries together stay within the limits at all times, in any order of openings and
    /// closings.
    #[test]
    fn shares_keep_limits(
        entries in 1_u32..9,
        steps in proptest::collection::vec((0_u64..400, 0_usize..9, any::<bool>()), 1..400),
    ) {
        let share = Share { entries };
        let mut pools = vec![pool(&[spec(1, 1)]); entries as usize];
        let mut now = START;
        let mut opened = 0;
        for (millis, entry, opens) in steps {
            now = now + Duration::from_millis(millis);
            let entry = entry % pools.len();
            if !opens {
                pools[entry].close(ip(1));
            } else if pools[entry].open(now, share, &[]).is_ok() {
                opened += 1;
                let open: u32 = pools.iter().map(|pool| pool.open_flows(ip(1))).sum();
                let limit = LIMITS.flows_at(now, Some(START));
                prop_assert!(open <= limit, "{open} flows open, limit {limit}");
            }
            let seconds = now.since(START).as_secs_f64();
            if seconds < 5.0 {
                // The rate at most doubles in the first half of the ramp; bursts are added to it.
                let burst = f64::from(entries).max(f64::from(LIMITS.cold_opens_per_s));
                let limit = f64::from(LIMITS.cold_opens_per_s) * 2.0 * seconds + burst;
                prop_assert!(f64::from(opened) <= limit, "{opened} flows opened in {seconds} s");
            }
        }
    }
}
