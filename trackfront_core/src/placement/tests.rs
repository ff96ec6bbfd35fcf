use super::*;

fn bundle(model: &str, total: u64) -> Bundle {
    let item = ItemKey { model: model.into(), adapter: None, version: "1".into() };
    Bundle { items: vec![SizedItem { item, total: Mib(total) }] }
}

#[test]
fn pack_error_names_bundle_that_does_not_fit() {
    let rooms = [Room { engine: "e".into(), accelerators: 1, free: Mib(50) }];
    let error = pack(&rooms, &[bundle("a", 30), bundle("b", 30)]);
    assert_eq!(error.expect_err("too large").item.model.as_str(), "b");
}
