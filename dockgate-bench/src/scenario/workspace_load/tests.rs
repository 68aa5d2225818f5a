use super::*;
use rand::SeedableRng;

#[test]
fn sizes_are_drawn_by_weight() {
    let mix: SizeDistribution = "1*3 9*1".parse().unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    let large = (0..1_000).filter(|_| mix.draw(&mut rng) == 9).count();
    assert!((200..300).contains(&large), "{large}");
    assert!("x".parse::<SizeDistribution>().is_err());
    assert!("1*0".parse::<SizeDistribution>().is_err());
}
