//! Whole fleets without a network: what boxes say is lost, late and doubled, and boxes die, begin anew
//! and are cut off meanwhile.

use super::super::box_beat::{DigestScope, FleetDigest};
use super::*;
use proptest::prelude::*;

/// How often a box beats here, in milliseconds.
const BEAT_MS: u64 = 300;
/// The longest a datagram takes, in milliseconds.
const LATE_MS: u64 = 150;
/// How long news takes from any box to all that need it, in milliseconds: until a box counts as gone,
/// twice where those that are beaten to next are gone too, a beat to others, theirs to other
/// domains, a digest back; each step may be lost once.
const AGREED_MS: u64 = 2 * FleetView::GONE_AFTER_MS + 2 * 3 * BEAT_MS + 3 * LATE_MS;

#[derive(Debug, Clone)]
enum Saying {
    Beat(BoxBeat),
    Digest(FleetDigest),
}

struct Datagram {
    at_ms: u64,
    from: SocketAddr,
    to: SocketAddr,
    incarnation: Incarnation,
    saying: Saying,
}

pub(super) struct FleetBox {
    pub(super) view: FleetView,
    incarnation: Incarnation,
    pub(super) next_ms: u64,
    rounds: u32,
    pub(super) is_up: bool,
    /// Boxes with another number here cannot be reached.
    pub(super) side: u8,
}

/// A seeded generator: the same fleet fails in the same way each time.
pub(super) struct Luck(pub(super) u64);

impl Luck {
    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.0 = super::super::rendezvous::name_hash(&self.0.to_string());
        self.0 % below
    }
}

pub(super) struct Fleet {
    pub(super) boxes: Vec<FleetBox>,
    under_way: Vec<Datagram>,
    luck: Luck,
    /// How many of a hundred datagrams are lost.
    lost: u64,
    pub(super) now_ms: u64,
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_400))
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all have numbers of four parts"),
    }
}

impl Fleet {
    /// Makes a fleet in which three boxes of each domain have most processor.
    pub(super) fn new(count: usize, domains: usize, lost: u64, seed: u64) -> Self {
        let mut luck = Luck(seed);
        let boxes = (0..count).map(|index| FleetBox {
            view: first_view(index, domains),
            incarnation: Incarnation(1),
            next_ms: 1_000 + luck.draw(BEAT_MS),
            rounds: 0,
            is_up: true,
            side: 0,
        });
        Self {
            boxes: boxes.collect(),
            under_way: Vec::new(),
            luck: Luck(seed + 1),
            lost,
            now_ms: 1_000,
        }
    }

    pub(super) fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += 10;
            self.deliver();
            for index in 0..self.boxes.len() {
                if self.boxes[index].is_up && self.boxes[index].next_ms <= self.now_ms {
                    self.beat(index);
                }
            }
        }
    }

    fn beat(&mut self, index: usize) {
        let now = self.now_ms;
        let draw = self.luck.draw(1_000) as usize;
        let member = &mut self.boxes[index];
        let incarnation = member.incarnation;
        member.next_ms = now + BEAT_MS;
        member.view.expire(now.saturating_sub(BEAT_MS), now);
        member.view.count_saying(now);
        let beat = member.view.own().clone();
        let mut targets = member.view.beat_targets(now, draw);
        // Two boxes of the first domain are the seeds.
        let coordinates = member.view.coordinates(now);
        if !member.view.hears_own_domain(now)
            || (coordinates && member.view.far_coordinators(now).is_empty())
        {
            targets.extend([address_of(0), address_of(1)]);
        }
        let far = coordinates.then(|| {
            member.view.count_saying(now);
            member.rounds += 1;
            let scope = match member.rounds % FleetView::LIST_EVERY {
                0 => DigestScope::FarList,
                _ => DigestScope::Far,
            };
            let digest = member.view.digest(scope, now);
            (member.view.far_coordinators(now), digest)
        });
        for to in targets {
            self.send(index, to, incarnation, &Saying::Beat(beat.clone()));
        }
        for (to, digest) in far
            .into_iter()
            .flat_map(|(targets, digest)| targets.into_iter().map(move |to| (to, digest.clone())))
        {
            self.send(index, to, incarnation, &Saying::Digest(digest));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, incarnation: Incarnation, saying: &Saying) {
        // One of twenty comes twice.
        let copies = 1 + usize::from(self.luck.draw(20) == 0);
        for _ in 0..copies {
            let is_lost = self.luck.draw(100) < self.lost;
            let at_ms = self.now_ms + 1 + self.luck.draw(LATE_MS);
            if !is_lost && index_of(to) != from {
                self.under_way.push(Datagram {
                    at_ms,
                    from: address_of(from),
                    to,
                    incarnation,
                    saying: saying.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now_ms;
        let under_way = std::mem::take(&mut self.under_way);
        let (due, later): (Vec<_>, Vec<_>) = under_way
            .into_iter()
            .partition(|datagram| datagram.at_ms <= now);
        self.under_way = later;
        for datagram in due {
            let (to, from) = (index_of(datagram.to), index_of(datagram.from));
            let member = &self.boxes[to];
            if !member.is_up || member.side != self.boxes[from].side {
                continue;
            }
            let view = &mut self.boxes[to].view;
            match datagram.saying {
                Saying::Beat(beat) => {
                    let scope = match beat.domain == view.own().domain {
                        true => DigestScope::Near,
                        false => DigestScope::Welcome,
                    };
                    view.hear(beat, datagram.incarnation, now);
                    view.count_saying(now);
                    let digest = view.digest(scope, now);
                    let incarnation = self.boxes[to].incarnation;
                    self.send(to, datagram.from, incarnation, &Saying::Digest(digest));
                }
                Saying::Digest(digest) => {
                    view.hear_digest(digest, datagram.incarnation, now);
                }
            }
        }
    }

    fn restart(&mut self, index: usize, domains: usize) {
        let now = self.now_ms;
        let member = &mut self.boxes[index];
        member.view = first_view(index, domains);
        member.incarnation = Incarnation(member.incarnation.0 + 1);
        member.is_up = true;
        member.next_ms = now + 10;
    }

    /// Checks that all boxes see the same coordinators of every domain, those that live, and count the
    /// same boxes.
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
            let mut best: Vec<_> = of_domain
                .map(|member| {
                    (
                        Reverse(member.view.own().standing.processor),
                        member.view.me(),
                    )
                })
                .collect();
            best.sort_unstable();
            best.truncate(FleetView::COORDINATORS);
            let best: Vec<BoxKey> = best.into_iter().map(|(_, key)| key).collect();
            for member in up() {
                let seen: Vec<BoxKey> = member.view.coordinators(&name, now).collect();
                assert_eq!(seen, best, "{} of {name}", member.view.own().name);
            }
        }
    }
}

fn first_view(index: usize, domains: usize) -> FleetView {
    let domain = format!("d{}", index % domains);
    let processor = if index / domains < 3 { 500 } else { 120 };
    let beat = BoxBeat::new(&format!("box-{index}"), &domain, address_of(index));
    FleetView::new(beat.standing(BoxStanding::new(processor)))
}

#[test]
fn a_fleet_that_starts_at_once_finds_itself() {
    let mut fleet = Fleet::new(300, 5, 0, 7);
    fleet.run(1_500);
    fleet.check_coordinators(5);
    fleet.run(2_500);
    fleet.check_agreement(5);
}

#[test]
fn what_a_box_sends_does_not_grow_with_the_fleet() {
    let largest_targets = |count: usize| {
        let mut fleet = Fleet::new(count, 5, 0, 7);
        fleet.run(3_000);
        let now = fleet.now_ms;
        let boxes = fleet.boxes.iter();
        let targets = boxes.map(|member| member.view.beat_targets(now, 0).len());
        targets.max().unwrap()
    };
    assert_eq!(largest_targets(30), FleetView::COORDINATORS);
    assert_eq!(largest_targets(300), FleetView::COORDINATORS);
}

/// Two parts of a domain that lost its coordinators while datagrams were lost had each found others, and
/// neither looked for more.
#[test]
fn two_parts_of_a_domain_with_coordinators_of_their_own_find_each_other() {
    let mut fleet = Fleet::new(12, 1, 0, 7);
    fleet.run(3_000);
    (0..6).for_each(|index| fleet.boxes[index].side = 1);
    fleet.run(4_000);
    let parts: BTreeSet<Vec<BoxKey>> = fleet
        .boxes
        .iter()
        .map(|member| member.view.coordinators("d0", fleet.now_ms).collect())
        .collect();
    assert_eq!(parts.len(), 2, "each part has its own");
    (0..6).for_each(|index| fleet.boxes[index].side = 0);
    fleet.run(AGREED_MS);
    fleet.check_agreement(1);
}

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
enum FleetEvent {
    /// All that coordinate a domain die at once.
    LoseCoordinators,
    /// Boxes die here and there.
    LoseSome,
    /// All die and begin anew.
    RestartAll,
    /// A domain cannot be reached for two seconds.
    CutDomain,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Whatever single datagrams are lost, late or doubled, all boxes that live agree within the time
    /// that is stated, and nobody is kept alive by what others pass on.
    #[test]
    fn live_boxes_agree_in_time(
        count in 6_usize..120,
        domains in 1_usize..6,
        lost in 0_u64..6,
        seed in 0_u64..1_000_000,
        event in prop::sample::select(vec![
            FleetEvent::LoseCoordinators,
            FleetEvent::LoseSome,
            FleetEvent::RestartAll,
            FleetEvent::CutDomain,
        ]),
    ) {
        let mut fleet = Fleet::new(count, domains, lost, seed);
        fleet.run(3_000);
        let in_domain = |index: &usize| index % domains == domains - 1;
        match event {
            FleetEvent::LoseCoordinators => {
                // Not the seeds, or those that begin anew later could not find the others.
                let coordinators = (2..count).filter(in_domain).take(3);
                coordinators.for_each(|index| fleet.boxes[index].is_up = false);
            }
            FleetEvent::LoseSome => {
                for index in 2..count {
                    fleet.boxes[index].is_up = fleet.luck.draw(3) > 0;
                }
            }
            FleetEvent::RestartAll => (0..count).for_each(|index| fleet.restart(index, domains)),
            FleetEvent::CutDomain => {
                (0..count).filter(in_domain).for_each(|index| fleet.boxes[index].side = 1);
                fleet.run(2_000);
                (0..count).for_each(|index| fleet.boxes[index].side = 0);
            }
        }
        fleet.run(AGREED_MS);
        fleet.check_coordinators(domains);
        // Who lives elsewhere is known a little later.
        fleet.run(FleetView::FAR_GONE_AFTER_MS);
        // With datagrams lost, a box may be missed for the moment of the look.
        fleet.lost = 0;
        fleet.run(5 * BEAT_MS + LATE_MS);
        fleet.check_agreement(domains);
    }
}
