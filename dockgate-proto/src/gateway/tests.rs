use super::*;
use dockgate_core::gateway::{DigestScope, RequestPrint, SuspectSign};

fn datagram(message: GatewayMessage) -> GatewayDatagram {
    GatewayDatagram {
        from: BoxKey(u32::MAX),
        incarnation: Incarnation(7),
        message,
    }
}

fn beat() -> BoxHeartbeat {
    BoxHeartbeat::new("a1", "a", "10.0.0.1:7400".parse().unwrap())
}

fn messages() -> [GatewayMessage; 4] {
    [
        GatewayMessage::Heartbeat {
            heartbeat: beat(),
            shares: Vec::new(),
        },
        GatewayMessage::Digest {
            digest: FleetDigest {
                scope: DigestScope::OtherDomain,
                sender: beat(),
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
            rows: vec![SuspectRow::new(
                RequestPrint::new([7; 16]),
                SuspectSign::Ended(EndpointId(2)),
            )],
        },
    ]
}

#[test]
fn a_datagram_comes_back_as_it_was() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert_eq!(GatewayDatagram::decode(&bytes), Ok(sent));
        assert!(GatewayDatagram::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}

/// Boxes of the version before read a datagram without looking for its form, and send theirs
/// without.
#[test]
fn boxes_of_another_version_take_nothing_of_each_other() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert!(postcard::from_bytes::<GatewayDatagram>(&bytes).is_err());
        let before = postcard::to_stdvec(&sent).unwrap();
        assert!(GatewayDatagram::decode(&before).is_err());
    }
}
