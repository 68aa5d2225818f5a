//! Simulates fleets without a network: datagrams are lost, delayed and duplicated while boxes die,
//! restart and are partitioned.

use super::super::box_heartbeat::{DigestScope, FleetDigest};
use super::*;
use proptest::prelude::*;

/// The interval between the heartbeats of a box, in milliseconds.
const HEARTBEAT_MS: u64 = 300;
/// The maximum delay of a datagram, in milliseconds.
const MAX_DELAY_MS: u64 = 150;
/// The time in which all boxes must agree, in milliseconds: two rounds of detecting that a box is
/// gone, then a heartbeat, a digest between domains and a digest back, each of them lost once.
const CONVERGENCE_MS: u64 = 2 * FleetView::GONE_AFTER_MS + 2 * 3 * HEARTBEAT_MS + 3 * MAX_DELAY_MS;

#[derive(Debug, Clone)]
enum TestMessage {
    Heartbeat(BoxHeartbeat),
    Digest(FleetDigest),
}

struct Datagram {
    at_ms: u64,
    from: SocketAddr,
    to: SocketAddr,
    incarnation: Incarnation,
    message: TestMessage,
}

pub(super) struct SimulatedBox {
    pub(super) view: FleetView,
    incarnation: Incarnation,
    pub(super) next_heartbeat_ms: u64,
    rounds: u32,
    pub(super) is_up: bool,
    /// Boxes with different numbers cannot reach each other.
    pub(super) partition: u8,
}

/// A seeded generator that makes failures reproducible.
pub(super) struct SeededRandom(pub(super) u64);

impl SeededRandom {
    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.0 = super::super::rendezvous::name_hash(&self.0.to_string());
        self.0 % below
    }
}

pub(super) struct SimulatedFleet {
    pub(super) boxes: Vec<SimulatedBox>,
    in_flight: Vec<Datagram>,
    random: SeededRandom,
    /// The percentage of datagrams that are lost.
    loss_percent: u64,
    pub(super) now_ms: u64,
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_400))
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

impl SimulatedFleet {
    /// Creates a fleet in which three boxes of each domain have the most processor.
    pub(super) fn new(count: usize, domains: usize, loss_percent: u64, seed: u64) -> Self {
        let mut random = SeededRandom(seed);
        let boxes = (0..count).map(|index| SimulatedBox {
            view: initial_view(index, domains),
            incarnation: Incarnation(1),
            next_heartbeat_ms: 1_000 + random.draw(HEARTBEAT_MS),
            rounds: 0,
            is_up: true,
            partition: 0,
        });
        Self {
            boxes: boxes.collect(),
            in_flight: Vec::new(),
            random: SeededRandom(seed + 1),
            loss_percent,
            now_ms: 1_000,
        }
    }

    pub(super) fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 10;
            self.deliver();
            for index in 0..self.boxes.len() {
                if self.boxes[index].is_up && self.boxes[index].next_heartbeat_ms <= self.now_ms {
                    self.send_heartbeats(index);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        let now = self.now_ms;
        let random = self.random.draw(1_000) as usize;
        let member = &mut self.boxes[index];
        let incarnation = member.incarnation;
        member.next_heartbeat_ms = now + HEARTBEAT_MS;
        member.view.expire(now.saturating_sub(HEARTBEAT_MS), now);
        member.view.advance_sequence(now);
        let heartbeat = member.view.own().clone();
        let mut targets = member.view.heartbeat_targets(now, random);
        // The first two boxes are the seeds.
        let is_coordinator = member.view.is_coordinator(now);
        if !member.view.has_live_domain_peer(now)
            || (is_coordinator && member.view.remote_coordinators(now).is_empty())
        {
            targets.extend([address_of(0), address_of(1)]);
        }
        let remote = is_coordinator.then(|| {
            member.view.advance_sequence(now);
            member.rounds += 1;
            let scope = match member.rounds % FleetView::FULL_DIGEST_INTERVAL {
                0 => DigestScope::OtherDomainFull,
                _ => DigestScope::OtherDomain,
            };
            let digest = member.view.digest(scope, now);
            (member.view.remote_coordinators(now), digest)
        });
        for to in targets {
            self.send(
                index,
                to,
                incarnation,
                &TestMessage::Heartbeat(heartbeat.clone()),
            );
        }
        for (to, digest) in remote
            .into_iter()
            .flat_map(|(targets, digest)| targets.into_iter().map(move |to| (to, digest.clone())))
        {
            self.send(index, to, incarnation, &TestMessage::Digest(digest));
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        incarnation: Incarnation,
        message: &TestMessage,
    ) {
        // One datagram of twenty is duplicated.
        let copies = 1 + usize::from(self.random.draw(20) == 0);
        for _ in 0..copies {
            let is_dropped = self.random.draw(100) < self.loss_percent;
            let at_ms = self.now_ms + 1 + self.random.draw(MAX_DELAY_MS);
            if !is_dropped && index_of(to) != from {
                self.in_flight.push(Datagram {
                    at_ms,
                    from: address_of(from),
                    to,
                    incarnation,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now_ms;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|datagram| datagram.at_ms <= now);
        self.in_flight = later;
        for datagram in due {
            let (to, from) = (index_of(datagram.to), index_of(datagram.from));
            let member = &self.boxes[to];
            if !member.is_up || member.partition != self.boxes[from].partition {
                continue;
            }
            let view = &mut self.boxes[to].view;
            match datagram.message {
                TestMessage::Heartbeat(heartbeat) => {
                    let scope = match heartbeat.domain == view.own().domain {
                        true => DigestScope::SameDomain,
                        false => DigestScope::Introduction,
                    };
                    let sender = heartbeat.key();
                    view.receive_heartbeat(heartbeat, datagram.incarnation, now);
                    view.advance_sequence(now);
                    let is_coordinator = view.coordinates_own_domain(sender, now);
                    let digest = match scope {
                        DigestScope::SameDomain if !is_coordinator => view.member_digest(now),
                        _ => view.digest(scope, now),
                    };
                    let incarnation = self.boxes[to].incarnation;
                    self.send(to, datagram.from, incarnation, &TestMessage::Digest(digest));
                }
                TestMessage::Digest(digest) => {
                    view.receive_digest(digest, datagram.incarnation, now);
                }
            }
        }
    }

    fn restart(&mut self, index: usize, domains: usize) {
        let now = self.now_ms;
        let member = &mut self.boxes[index];
        member.view = initial_view(index, domains);
        member.incarnation = Incarnation(member.incarnation.0 + 1);
        member.is_up = true;
        member.next_heartbeat_ms = now + 10;
    }

    /// Checks that all live boxes agree on the coordinators of every domain and on the number of
    /// live boxes.
    fn check_agreement(&self, domains: usize) {
        self.check_coordinators(domains);
        let up = || self.boxes.iter().filter(|member| member.is_up);
        let count = up().count() as u32;
        for member in up() {
            assert_eq!(
                member.view.live_count(self.now_ms),
                count,
                "{}",
                member.view.own().name
            );
        }
    }

    fn check_coordinators(&self, domains: usize) {
        let now = self.now_ms;
        let up = || self.boxes.iter().filter(|member| member.is_up);
        for domain in 0..domains {
            let name = format!("d{domain}");
            let of_domain = up().filter(|member| member.view.own().domain == name);
            let mut expected: Vec<_> = of_domain
                .map(|member| {
                    (
                        Reverse(member.view.own().status.processor),
                        member.view.own_key(),
                    )
                })
                .collect();
            expected.sort_unstable();
            expected.truncate(FleetView::COORDINATORS);
            let expected: Vec<BoxKey> = expected.into_iter().map(|(_, key)| key).collect();
            for member in up() {
                let actual: Vec<BoxKey> = member.view.coordinators(&name, now).collect();
                assert_eq!(actual, expected, "{} of {name}", member.view.own().name);
            }
        }
    }
}

fn initial_view(index: usize, domains: usize) -> FleetView {
    let domain = format!("d{}", index % domains);
    let processor = if index / domains < 3 { 500 } else { 120 };
    let heartbeat = BoxHeartbeat::new(&format!("box-{index}"), &domain, address_of(index));
    FleetView::new(heartbeat.status(BoxStatus::new(processor)))
}

#[test]
fn a_fleet_started_at_once_converges() {
    let mut fleet = SimulatedFleet::new(300, 5, 0, 7);
    fleet.run(1_500);
    fleet.check_coordinators(5);
    fleet.run(2_500);
    fleet.check_agreement(5);
}

#[test]
fn heartbeat_targets_do_not_grow_with_the_fleet() {
    let largest_targets = |count: usize| {
        let mut fleet = SimulatedFleet::new(count, 5, 0, 7);
        fleet.run(3_000);
        let now = fleet.now_ms;
        let boxes = fleet.boxes.iter();
        let targets = boxes.map(|member| member.view.heartbeat_targets(now, 0).len());
        targets.max().unwrap()
    };
    assert_eq!(largest_targets(30), FleetView::COORDINATORS);
    assert_eq!(largest_targets(300), FleetView::COORDINATORS);
}

#[test]
fn digests_of_members_do_not_grow_with_the_domain() {
    let listed = |count: usize| {
        let mut fleet = SimulatedFleet::new(count, 1, 0, 7);
        fleet.run(3_000);
        let digests = fleet.boxes.iter();
        let digests = digests.map(|member| member.view.member_digest(fleet.now_ms));
        let largest = digests.map(|digest| digest.members.len() + digest.coordinators.len());
        largest.max().unwrap()
    };
    let most = FleetView::LISTED_MEMBERS + FleetView::COORDINATORS;
    assert!(listed(100) <= most);
    assert!(listed(400) <= most);
}

/// Guards against a domain that stays split between two groups of coordinators.
#[test]
fn split_domains_merge_after_a_partition() {
    let mut fleet = SimulatedFleet::new(12, 1, 0, 7);
    fleet.run(3_000);
    (0..6).for_each(|index| fleet.boxes[index].partition = 1);
    fleet.run(4_000);
    let parts: BTreeSet<Vec<BoxKey>> = fleet
        .boxes
        .iter()
        .map(|member| member.view.coordinators("d0", fleet.now_ms).collect())
        .collect();
    assert_eq!(parts.len(), 2, "each part has its own coordinators");
    (0..6).for_each(|index| fleet.boxes[index].partition = 0);
    fleet.run(CONVERGENCE_MS);
    fleet.check_agreement(1);
}

/// A fault of a simulated fleet.
#[derive(Debug, Clone, Copy)]
enum FleetFault {
    /// All coordinators of a domain die at once.
    CoordinatorsDie,
    /// Some boxes die.
    SomeDie,
    /// All boxes restart.
    AllRestart,
    /// A domain is unreachable for two seconds.
    DomainPartitioned,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Guards against disagreement after the time limit, and against reports of other boxes that
    /// keep a dead box alive.
    #[test]
    fn live_boxes_agree_within_the_time_limit(
        count in 6_usize..120,
        domains in 1_usize..6,
        loss_percent in 0_u64..6,
        seed in 0_u64..1_000_000,
        fault in prop::sample::select(vec![
            FleetFault::CoordinatorsDie,
            FleetFault::SomeDie,
            FleetFault::AllRestart,
            FleetFault::DomainPartitioned,
        ]),
    ) {
        let mut fleet = SimulatedFleet::new(count, domains, loss_percent, seed);
        fleet.run(3_000);
        let in_domain = |index: &usize| index % domains == domains - 1;
        match fault {
            FleetFault::CoordinatorsDie => {
                // Keeps the seeds up, since restarting boxes need them.
                let coordinators = (2..count).filter(in_domain).take(3);
                coordinators.for_each(|index| fleet.boxes[index].is_up = false);
            }
            FleetFault::SomeDie => {
                for index in 2..count {
                    fleet.boxes[index].is_up = fleet.random.draw(3) > 0;
                }
            }
            FleetFault::AllRestart => (0..count).for_each(|index| fleet.restart(index, domains)),
            FleetFault::DomainPartitioned => {
                (0..count).filter(in_domain).for_each(|index| fleet.boxes[index].partition = 1);
                fleet.run(2_000);
                (0..count).for_each(|index| fleet.boxes[index].partition = 0);
            }
        }
        fleet.run(CONVERGENCE_MS);
        fleet.check_coordinators(domains);
        // Boxes of other domains expire later.
        fleet.run(FleetView::REMOTE_GONE_AFTER_MS);
        // Without further loss, no box is missed at the time of the check.
        fleet.loss_percent = 0;
        fleet.run(5 * HEARTBEAT_MS + MAX_DELAY_MS);
        fleet.check_agreement(domains);
    }
}
