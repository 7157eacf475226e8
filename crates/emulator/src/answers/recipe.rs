//! The recipe service: allergens, scaling, labels and bookings of stock.

use crate::answers::AnswerState;

/// Allergens with the ingredients that contain them.
const ALLERGENS: [(&str, &[&str]); 10] = [
    ("celery", &["celery", "celeriac"]),
    ("eggs", &["egg", "eggs", "mayonnaise"]),
    ("fish", &["fish", "cod", "salmon", "anchovy"]),
    ("gluten", &["wheat", "flour", "barley", "rye", "bread", "pasta"]),
    ("milk", &["milk", "butter", "cream", "cheese", "yoghurt"]),
    ("mustard", &["mustard"]),
    ("nuts", &["almond", "hazelnut", "walnut", "cashew"]),
    ("peanuts", &["peanut", "peanuts"]),
    ("sesame", &["sesame", "tahini"]),
    ("soya", &["soya", "tofu"]),
];

types::wire! {
    pub(crate) struct AllergensRequest {
        batch: String,
        ingredients: Vec<String>,
    }

    pub(crate) struct AllergensAnswer {
        batch: String,
        allergens: Vec<String>,
    }
}

types::wire! {
    pub(crate) struct Ingredient {
        name: String,
        grams: f64,
    }

    pub(crate) struct Recipe {
        serves: u32,
        ingredients: Vec<Ingredient>,
    }

    pub(crate) struct ScaleRequest {
        recipe: Recipe,
        serves: u32,
    }

    pub(crate) struct LabelRequest {
        batch: String,
        text: String,
    }

    pub(crate) struct LabelAnswer {
        batch: String,
        text: String,
        confirmed: bool,
    }

    pub(crate) struct BookRequest {
        item: String,
        grams: f64,
    }

    pub(crate) struct BookAnswer {
        item: String,
        grams: f64,
        booking: u64,
    }
}

/// Returns the allergens in the ingredients of a batch.
pub(crate) fn allergens(req: AllergensRequest) -> AllergensAnswer {
    let has_any = |words: &[&str]| req.ingredients.iter().any(|i| contains_any(i, words));
    let allergens =
        ALLERGENS.iter().filter(|(_, words)| has_any(words)).map(|(name, _)| (*name).to_owned());
    AllergensAnswer { allergens: allergens.collect(), batch: req.batch }
}

/// Scales a recipe to another number of portions.
pub(crate) fn scale(req: ScaleRequest) -> Recipe {
    let factor = f64::from(req.serves) / f64::from(req.recipe.serves.max(1));
    let scaled = |i: Ingredient| Ingredient { grams: i.grams * factor, ..i };
    Recipe {
        serves: req.serves,
        ingredients: req.recipe.ingredients.into_iter().map(scaled).collect(),
    }
}

/// Confirms a label whose batch and text are not blank.
pub(crate) fn label(req: LabelRequest) -> LabelAnswer {
    let confirmed = !req.batch.trim().is_empty() && !req.text.trim().is_empty();
    LabelAnswer { batch: req.batch, text: req.text, confirmed }
}

/// Books stock; not idempotent, since every call adds a booking.
pub(crate) fn book(req: BookRequest, state: &AnswerState) -> BookAnswer {
    BookAnswer { item: req.item, grams: req.grams, booking: state.next_booking() }
}

fn contains_any(ingredient: &str, words: &[&str]) -> bool {
    ingredient
        .split(|c: char| !c.is_alphabetic())
        .any(|part| words.iter().any(|word| part.eq_ignore_ascii_case(word)))
}
