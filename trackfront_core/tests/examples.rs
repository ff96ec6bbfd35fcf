//! The example trees build, check, and have the sizes of the deployments that they show.

use std::path::Path;

use trackfront_core::tree::{Tree, TreeFiles, build, check};

fn example(name: &str) -> Tree {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name);
    let files = TreeFiles::read(&folder).expect("the example is there");
    let tree = build(&files).unwrap_or_else(|errors| panic!("{errors}"));
    check::check(&tree).unwrap_or_else(|errors| panic!("{errors}"));
    tree
}

fn sizes(tree: &Tree) -> (usize, usize, usize) {
    let models: Vec<_> = tree.shards().flat_map(|(_, service)| service.models()).collect();
    let adapters = models.iter().map(|(_, model)| model.adapters.len()).sum();
    (tree.backends().count(), models.len(), adapters)
}

#[test]
fn rueda_has_its_sizes() {
    assert_eq!(sizes(&example("rueda")), (12 + 3, 26, 64));
}

#[test]
fn suyeon_has_its_sizes() {
    assert_eq!(sizes(&example("suyeon")), (18 + 3, 39, 95));
}

#[test]
fn a_value_is_explained_by_the_level_that_set_it() {
    let tree = example("rueda");
    let own = tree.explain("lima/counter/claim-letter", Some("priority")).expect("it is there");
    assert_eq!(own[0].value, "9");
    assert_eq!(own[0].file.as_deref(), Some("lima/counter/claim-letter/model.toml"));
    let inherited = tree.explain("lima/counter/claim-letter", Some("move_cost"));
    assert_eq!(inherited.expect("it is there")[0].file.as_deref(), Some("root.toml"));
    let built_in = tree.explain("lima/counter/claim-letter", Some("max_retries"));
    assert_eq!(built_in.expect("it is there")[0].file, None);
}
