use super::*;
use dockgate_core::gateway::{DigestScope, DomainKey, SuspectEvent, SuspectKey};

fn datagram(message: GatewayMessage) -> GatewayDatagram {
    GatewayDatagram {
        from: BoxKey(u32::MAX),
        incarnation: Incarnation(7),
        message,
        evacuations: Vec::new(),
        rates: Vec::new(),
    }
}

fn heartbeat() -> BoxHeartbeat {
    BoxHeartbeat::new("a1", "a", "10.0.0.1:7400".parse().unwrap())
}

fn messages() -> [GatewayMessage; 4] {
    [
        GatewayMessage::Heartbeat {
            heartbeat: heartbeat(),
            shares: Vec::new(),
        },
        GatewayMessage::Digest {
            digest: FleetDigest {
                scope: DigestScope::OtherDomain,
                sender: heartbeat(),
                coordinators: Vec::new(),
                members: Vec::new(),
                live: 1,
                known: 1,
            },
            shares: Vec::new(),
        },
        GatewayMessage::Ended {
            run: 1,
            endpoint: EndpointId(2),
        },
        GatewayMessage::Suspects {
            rows: vec![SuspectReport::new(
                SuspectKey::new([7; 16]),
                SuspectEvent::Ended(EndpointId(2)),
            )],
        },
    ]
}

#[test]
fn datagrams_survive_a_round_trip() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert_eq!(GatewayDatagram::decode(&bytes), Ok(sent));
        assert!(GatewayDatagram::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}

/// Older boxes would quarantine a sound part after three ends, and tell the others.
#[test]
fn reports_of_parts_are_not_sent_as_those_of_requests() {
    let event = SuspectEvent::Ended(EndpointId(2));
    let keys = [SuspectKey::new([7; 16]), SuspectKey::of_part("model", 9)];
    let [request, part] = keys.map(|key| SuspectReport::new(key, event));
    let messages = [
        GatewayMessage::PartSuspects { rows: vec![part] },
        GatewayMessage::Suspects {
            rows: vec![request],
        },
    ];
    assert_eq!(GatewayMessage::of_reports(vec![request, part]), messages);
    assert_eq!(GatewayMessage::of_reports(vec![part]), messages[..1]);
}

/// What a box decodes that knows of no evacuation orders.
type UnprefixedDatagram = (BoxKey, Incarnation, GatewayMessage);

#[test]
fn evacuation_orders_follow_the_message() {
    for message in messages() {
        let evacuations = vec![EvacuationOrder {
            domain: DomainKey(9),
            revision: StoreRevision::new(2, 5),
            is_active: true,
        }];
        let sent = GatewayDatagram {
            evacuations,
            ..datagram(message)
        };
        let bytes = sent.encode().unwrap();
        assert_eq!(GatewayDatagram::decode(&bytes), Ok(sent.clone()));
        assert!(GatewayDatagram::decode(&bytes[..bytes.len() - 1]).is_err());
        let known: UnprefixedDatagram =
            postcard::from_bytes(&bytes[FORMAT_PREFIX.len()..]).unwrap();
        assert_eq!(known.2, sent.message);
    }
}

/// What a box decodes that knows of no rates.
type RatelessDatagram = (BoxKey, Incarnation, GatewayMessage, Vec<EvacuationOrder>);

/// Guards against boxes that take rates for evacuation orders.
#[test]
fn rates_follow_the_evacuation_orders() {
    let order = EvacuationOrder {
        domain: DomainKey(9),
        revision: StoreRevision::new(2, 5),
        is_active: true,
    };
    let rates = vec![EngineRate {
        endpoint: EndpointId(u64::MAX),
        step: -3,
        counter: 300,
        age_ds: 99,
    }];
    for (message, orders) in messages().into_iter().zip([0, 1, 0, 1]) {
        let sent = GatewayDatagram {
            evacuations: vec![order; orders],
            rates: rates.clone(),
            ..datagram(message)
        };
        let bytes = sent.encode().unwrap();
        assert_eq!(GatewayDatagram::decode(&bytes), Ok(sent.clone()));
        assert!(GatewayDatagram::decode(&bytes[..bytes.len() - 1]).is_err());
        let known: RatelessDatagram = postcard::from_bytes(&bytes[FORMAT_PREFIX.len()..]).unwrap();
        assert_eq!((known.2, known.3), (sent.message, sent.evacuations));
    }
}

/// Guards against datagrams accepted across formats, the one without a prefix included.
#[test]
fn datagrams_of_other_formats_are_rejected() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert!(postcard::from_bytes::<UnprefixedDatagram>(&bytes).is_err());
        let unprefixed = &bytes[FORMAT_PREFIX.len()..];
        assert!(postcard::from_bytes::<UnprefixedDatagram>(unprefixed).is_ok());
        assert!(GatewayDatagram::decode(unprefixed).is_err());
    }
}
