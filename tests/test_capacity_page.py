"""Tests that docs/CAPACITY.md is up to date with roles.toml and results, and tests of fits and pages."""

import ast
import itertools
import math
import random
import re
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from limelatch.command import main
from limelatch.lab.scale import page as capacity_page
from limelatch.lab.scale.fit import Growth, TooFewPoints, fit, reaches
from limelatch.lab.scale.results import Point, Results, save
from limelatch.lab.scale.roles import FUNCTIONS, NONE_YET, Book, Roles, read, results_in

ROOT = Path(__file__).parent.parent
FOLDER = ROOT / capacity_page.FOLDER
SIZES = (2000.0, 20_000.0, 60_000.0, 180_000.0)


@pytest.fixture(scope="module")
def roles():
    """The roles of the capacity page in this repository."""
    return read(FOLDER / capacity_page.ROLES)


@pytest.fixture(scope="module")
def calculation(roles):
    """The figures of the capacity page, worked out from the results in this repository."""
    return Book(roles, results_in(FOLDER))


# The page in this repository.


def test_the_page_is_up_to_date_with_results_and_roles():
    assert (ROOT / "docs/CAPACITY.md").read_text(encoding="utf-8") == capacity_page.page(FOLDER)


def test_the_command_prints_the_page():
    result = CliRunner().invoke(main, ["lab", "scale", "page", "--folder", str(FOLDER)])
    assert (result.exit_code, result.output) == (0, capacity_page.page(FOLDER))


@pytest.mark.parametrize(
    ("name", "figure"),
    [
        ("texts_a_relay", 136),
        ("texts_zone_lost", 158),
        ("texts_region_lost", 204),
        ("texts_a_destination", 0.53),
        ("texts_from_one_relay", 0.00075),
        ("between_texts", 22 * 60),
        ("down_destinations", 3060),
        ("down_texts", 1615),
        ("backlog_days", 6.2),
        ("backlog_a_relay", 1.24e6),
        ("backlog_a_down", 284_000),
        ("backlog_a_down_and_relay", 406),
        ("between_changes", 131),
        ("between_restarts", 12),
        ("list_bytes", 25),
        ("list_hours", 2.3),
        ("trials_at_cap", 87),
        ("even_part", 100),
    ],
)
def test_figures_of_the_target_agree_with_the_issue(calculation, name, figure):
    assert calculation.work_out(name).value == pytest.approx(figure, rel=0.015)


def test_trials_over_usual_are_166_times_which_the_issue_rounds_to_160(calculation):
    assert calculation.work_out("trials_over_usual").value == pytest.approx(87.5 / (95_000 / 180_000))
    assert calculation.work_out("trials_over_usual").value == pytest.approx(160, rel=0.04)


def expressions(roles):
    """Yield every expression in the roles file, also those in the braces of its texts."""
    yield from (each.value for each in roles.arithmetic)
    texts = [
        *roles.readings,
        *(each.about for each in roles.arithmetic),
        roles.comparison.about,
        *(each.aim for each in roles.comparison.series),
        *itertools.chain(*(each.carries for each in roles.mechanisms)),
    ]
    for role in roles.roles:
        texts += [role.about, *(getattr(role.failures, name) for name, _ in capacity_page.EVENTS)]
        for row in role.rows:
            yield row.value
            yield from filter(None, [row.budget, row.grows_with])
            texts.append(row.note)
    for each in texts:
        assert each.count("{") == each.count("}") == len(re.findall(r"\{[^{}]+\}", each)), each
        yield from re.findall(r"\{([^{}]+)\}", each)


def test_expressions_use_only_names_of_figures_and_series(calculation, roles):
    known = {*calculation.figures, *calculation.series, *FUNCTIONS, "same"}
    for expression in expressions(roles):
        names = {node.id for node in ast.walk(ast.parse(expression)) if isinstance(node, ast.Name)}
        assert names <= known, expression


def test_names_of_figures_and_series_are_unique(roles):
    names = [each.name for each in [*roles.target, *roles.assumed, *roles.arithmetic, *roles.series]]
    assert len(names) == len(set(names))


def test_a_row_names_a_file_of_the_repository_as_its_mechanism_or_none_yet(roles):
    for row in (row for role in roles.roles for row in role.rows):
        if row.mechanism == NONE_YET:
            assert not row.file, row.quantity
        else:
            assert (ROOT / row.file).is_file(), row.quantity
        assert bool(row.budget) == bool(row.budget_from), row.quantity


def test_every_role_has_rows_for_state_messages_processor_and_memory(roles):
    for role in roles.roles:
        aspects = {row.aspect for row in role.rows}
        if "not known" not in role.about:  # a partner's own processor and memory
            assert aspects >= {"messages", "processor", "memory"}, role.name
        assert aspects >= {"state", "messages"}, role.name


def test_rows_of_a_series_without_points_say_not_measured(calculation, roles):
    text = capacity_page.page(FOLDER)
    for role, row in itertools.chain(*(zip(itertools.repeat(role), role.rows) for role in roles.roles)):
        called = [
            node.id
            for node in ast.walk(ast.parse(row.value))
            if isinstance(node, ast.Name) and node.id in calculation.series
        ]
        quantity = f"{row.quantity} ({row.aside})" if row.aside else row.quantity
        (line,) = [
            each for each in table_rows(page_section(text, role.name), row.quantity) if each[0] == quantity
        ]
        if any(not (measured := calculation.held.get(name)) or not measured.points for name in called):
            assert line[2] == capacity_page.NOT_MEASURED, row.quantity


def test_a_series_has_the_unit_of_its_points(calculation):
    for name, measured in calculation.held.items():
        assert {point.unit for point in measured.points.values()} <= {measured.series.unit}, name


# Fits of series of known growth.


GROWTH = {
    "line": (Growth.LINE, lambda x: 33 + 0.0031 * x),
    "n log n": (Growth.N_LOG_N, lambda x: 1 + 2e-6 * x * math.log2(x)),
    "n2": (Growth.SQUARE, lambda x: 2 + 1e-9 * x * x),
    "flat": (Growth.LINE, lambda x: 0.2),
    "down": (Growth.LINE, lambda x: 9 - 1e-5 * x),
}


@pytest.mark.parametrize("name", GROWTH)
def test_an_exact_series_is_fitted_by_the_curve_that_made_it(name):
    growth, of = GROWTH[name]
    found = fit({x: [of(x)] * 3 for x in SIZES})
    assert found.taken.growth is growth
    assert found.taken.residual == pytest.approx(0, abs=1e-9)
    assert found.taken.at(1e6) == pytest.approx(of(1e6))
    assert found.worse_than_line == (name in ("n log n", "n2"))
    assert (found.runs, found.spread, found.sizes) == (3, 0, SIZES)
    assert [curve.growth for curve in found.curves] == list(Growth)


def test_a_line_with_noise_is_fitted_as_a_line_with_its_spread():
    noise = itertools.cycle([0.94, 1.0, 1.06])
    found = fit({x: [(10 + 0.001 * x) * next(noise) for _ in range(3)] for x in SIZES})
    assert found.taken.growth is Growth.LINE
    assert found.spread == pytest.approx(0.12)
    assert 0.01 < found.taken.residual < 0.12


@pytest.mark.parametrize(
    ("name", "noise", "growth"),
    [
        ("line", 0.2, Growth.LINE),
        ("flat", 0.2, Growth.LINE),
        ("n2", 0.05, Growth.SQUARE),
        ("n log n", 0.01, Growth.N_LOG_N),
        ("n log n", 0.1, Growth.LINE),
    ],
)  # this much noise hides the slight curvature
def test_noise_of_three_runs_neither_adds_growth_nor_hides_a_square(name, noise, growth):
    _, of = GROWTH[name]
    for seed in range(40):
        random_source = random.Random(seed)
        found = fit(
            {x: [of(x) * (1 + noise * random_source.uniform(-1, 1)) for _ in range(3)] for x in SIZES}
        )
        assert found.taken.growth is growth, seed


def test_a_slope_that_noise_could_cause_counts_as_flat():
    flat = [
        fit({x: [random_source.uniform(0.8, 1.2) for _ in range(3)] for x in SIZES}).taken.slope == 0
        for random_source in map(random.Random, range(200))
    ]
    assert sum(flat) >= 190
    for random_source in map(random.Random, range(40)):
        found = fit(
            {x: [(1 + x / 180_000) * random_source.uniform(0.8, 1.2) for _ in range(3)] for x in SIZES}
        )
        assert found.taken.slope > 0


def test_a_curve_that_fits_hardly_better_than_the_line_is_not_chosen():
    found = fit({x: [x**1.05] for x in SIZES})
    assert found.curves[1].residual < found.curves[0].residual
    assert found.taken.growth is Growth.LINE


def test_growth_of_less_than_a_hundredth_is_fitted_as_a_line():
    assert fit({x: [100 + 1e-7 * x * math.log2(x)] for x in SIZES}).taken.growth is Growth.LINE


def test_a_decreasing_square_does_not_grow_worse_than_a_line():
    found = fit({x: [100 - 1e-9 * x * x] for x in SIZES})
    assert (found.taken.growth, found.worse_than_line) == (Growth.SQUARE, False)


def test_residuals_are_relative_to_the_mean():
    found = fit({1.0: [0.0], 10.0: [20.0], 100.0: [0.0], 1000.0: [20.0]})
    errors = [found.curves[0].at(x) - y for x, y in zip([1, 10, 100, 1000], [0, 20, 0, 20], strict=True)]
    assert found.curves[0].residual == pytest.approx(math.sqrt(sum(error**2 for error in errors) / 4) / 10)


@pytest.mark.parametrize(
    "sizes", [(2000, 20_000, 180_000), (10_000, 20_000, 60_000, 180_000), (0, 1, 2, 19), ()]
)
def test_too_few_points_or_too_narrow_a_range_are_not_fitted(sizes):
    with pytest.raises(TooFewPoints):
        fit({float(x): [1.0] for x in sizes})


def test_a_size_without_values_does_not_count_as_a_point_and_size_0_does():
    with pytest.raises(TooFewPoints):
        fit({x: [1.0] if x > 2000 else [] for x in SIZES})
    assert fit({0.0: [1.0], 10.0: [2.0], 100.0: [11.0], 300.0: [31.0]}).sizes == (0, 10, 100, 300)


def test_past_tells_how_far_a_size_is_beyond_the_last_point():
    found = fit({x: [x] for x in SIZES})
    assert [found.past(x) for x in (500, 180_000, 1_800_000)] == [1, 1, 10]


def test_reaches_finds_the_size_at_which_a_budget_is_reached():
    assert reaches(lambda x: 2 * x, 100, 1, 1e9) == pytest.approx(50, rel=1e-3)
    assert reaches(lambda x: x * x, 100, 1, 1e9) == pytest.approx(10, rel=1e-3)
    assert reaches(lambda x: x, 100, 1, 99) is None
    assert reaches(lambda x: x, 100, 200, 1e9) == 200


# Pages made from invented results.


TOML = """
readings = ["{relays} relays are read so"]
[[target]]
name = "relays"
value = 700
unit = ""
about = "relays"
[[target]]
name = "destinations"
value = 180000
unit = ""
about = "destinations"
[[assumed]]
name = "limit"
value = 64
unit = "MB"
about = "not told"
[[arithmetic]]
name = "each"
value = "destinations / relays"
unit = ""
about = "of each"
[[series]]
name = "memory"
files = ["after", "before"]
scenario = "rest"
measure = "memory"
axis = "destinations"
unit = "MB"
[[series]]
name = "time"
files = ["before"]
scenario = "change"
measure = "processor"
axis = "destinations"
unit = "ms"
[[roles]]
name = "Relay"
about = "One of {relays}."
[roles.failures]
machine = "{each} a relay"
restart = "{memory(destinations)} MB"
rack = "{time(destinations) * 2} ms"
zone = "nothing"
region_cut = "nothing"
[[roles.rows]]
quantity = "memory of all"
aspect = "memory"
unit = "MB"
value = "memory(destinations)"
mechanism = "objects"
file = "limelatch/policy.py"
budget = "limit"
budget_from = "target"
grows_with = "destinations"
carried_by = "a directory"
[[roles.rows]]
quantity = "time of a change"
aspect = "processor"
unit = "ms"
value = "time(destinations) * 2"
budget = "0.1"
budget_from = "aim"
grows_with = "destinations"
[[roles.rows]]
quantity = "time of a fleet ten times as large"
aspect = "processor"
unit = "ms"
value = "time(destinations * 10)"
aside = "a way weighed"
[[roles.rows]]
quantity = "time at the figure of each"
aspect = "processor"
unit = "ms"
value = "same(time, destinations * 10)"
[[roles.rows]]
quantity = "rows of each"
aspect = "state"
unit = "rows"
value = "each"
budget = "10"
budget_from = "aim"
grows_with = "destinations"
[comparison]
about = "one and the other"
before = ["lifted", "before"]
after = "after"
[[comparison.series]]
scenario = "rest"
measure = "memory"
axis = "destinations"
about = "memory at rest"
aim = "{limit} MB"
[[mechanisms]]
name = "Placement"
carries = ["{each} of {destinations}"]
"""


def points(scenario, measure, unit, of, sizes=SIZES):
    """Return a point at each size, with three values around `of(size)`."""
    return [
        Point(scenario, measure, unit, "destinations", x, [of(x) * part for part in (0.99, 1.0, 1.01)])
        for x in sizes
    ]


MEMORY = points("rest", "memory", "MB", lambda x: 40 + 0.003 * x)
SQUARE = points("change", "processor", "ms", lambda x: 0.1 + 1e-9 * x * x)


@pytest.fixture
def make_page(tmp_path):
    """A function that makes the page of the given results, by the name of their file."""

    def make(**points_by_file):
        (tmp_path / capacity_page.ROLES).write_text(TOML)
        for name, found in points_by_file.items():
            save(
                tmp_path / f"{name}.json",
                Results(f"the {name} one", f"scale {name}", "abc1234", "2026-12-02", "8 cores", found),
            )
        return capacity_page.page(tmp_path)

    return make


def table_rows(page, start):
    """Return the cells of every table row whose first cell begins with `start`."""
    return [
        [cell.strip() for cell in line.strip("| ").split(" | ")]
        for line in page.splitlines()
        if line.startswith(f"| {start}")
    ]


def page_section(page, title):
    """Return the text of a section of the page."""
    return page.partition(f"## {title}\n")[2].partition("\n## ")[0]


def test_without_results_only_arithmetic_rows_have_values(make_page):
    text = make_page()
    assert table_rows(text, "memory of all")[0][2:7] == [
        "not measured",
        "64 MB (target)",
        "",
        "",
        "no points of `memory` yet",
    ]
    assert table_rows(text, "rows of each")[0][2:7] == [
        "257 rows",
        "10 rows (aim)",
        "**25.7 times over**",
        "7,000 `destinations`",
        "arithmetic",
    ]
    assert table_rows(text, "a machine is restarted")[0][1] == "(not measured) MB"
    assert "Not ranked, since not measured:\n\n- Relay: memory of all" in text


def test_measured_fitted_and_extrapolated_rows_are_marked_as_such(make_page):
    text = make_page(before=MEMORY + SQUARE)
    assert table_rows(text, "memory of all")[0][2:7] == [
        "580 MB",
        "64 MB (target)",
        "**9.06 times over**",
        "8,000 `destinations`",
        "measured (`before`)",
    ]
    assert table_rows(text, "time of a change")[0][2:7] == [
        "65 ms",
        "0.1 ms (aim)",
        "**650 times over**",
        "under 2,000 `destinations`, **grows worse than linearly**",
        "arithmetic on measured (`before`)",
    ]
    ten = table_rows(text, "time of a fleet ten")[0]
    assert (ten[2], ten[6]) == ("3,240 ms", "extrapolated, 10 times past the last point of `time` (`before`)")
    assert ten[0].endswith("(a way weighed)")
    assert table_rows(text, "time at the figure of each")[0][2:7:4] == [
        "32.5 ms",
        "extrapolated, 10 times past the last point of `time`, taken to be the same there (`before`)",
    ]
    assert table_rows(text, "a machine is restarted")[0][1] == "580 MB"
    fewer = make_page(
        before=[point for point in MEMORY if point.x < 180_000]
        + points("rest", "memory", "MB", lambda x: 40 + 0.003 * x, [200.0])
    )
    assert table_rows(fewer, "memory of all")[0][6] == (
        "extrapolated, 3 times past the last point of `memory` (`before`)"
    )
    wider = make_page(
        before=[point for point in MEMORY if point.x < 180_000]
        + points("rest", "memory", "MB", lambda x: 40 + 0.003 * x, [360_000.0])
    )
    assert table_rows(wider, "memory of all")[0][2:7:4] == ["580 MB", "fitted (`before`)"]


@pytest.mark.parametrize(
    ("value", "unit", "formatted"),
    [
        (87.5, "1/s", "87.5/s"),
        (3000, "B/s", "3,000 B/s"),
        (1.3, "%", "1.3%"),
        (700, "", "700"),
        (65_536, "", "65,536"),
        (65_536.2, "", "65,500"),
        (0.000754, "1/s", "0.000754/s"),
        (1_242_857, "texts", "1.24 million texts"),
        (0, "MB", "0 MB"),
        (-1234.5, "ms", "-1,230 ms"),
    ],
)
def test_figures_have_three_significant_digits_and_their_unit(value, unit, formatted):
    assert capacity_page.with_unit(value, unit) == formatted


def test_the_size_at_which_a_square_exceeds_its_budget(make_page, tmp_path):
    toml = TOML.replace('budget = "0.1"', 'budget = "2.2"')
    make_page(before=SQUARE)
    (tmp_path / capacity_page.ROLES).write_text(toml)
    text = capacity_page.page(tmp_path)  # 2 * (0.1 + 1e-9 x^2) = 2.2
    assert (
        table_rows(text, "time of a change")[0][5] == "31,600 `destinations`, **grows worse than linearly**"
    )
    (tmp_path / capacity_page.ROLES).write_text(toml.replace('"2.2"', '"1e9"'))
    assert table_rows(capacity_page.page(tmp_path), "time of a change")[0][5] == (
        "over 1.8 million `destinations`, **grows worse than linearly**"
    )


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ((70, 71, 100, 200), "under 2,000"),  # the smallest measured size is over the budget already
        ((60, 63, 100, 200), "20,000 to 60,000"),  # the fit reaches the budget earlier
        ((1, 63, 20, 200), "60,000 to 180,000"),
        ((1, 2, 3, 60), "186,000"),  # past the last size: n² of about 0.9 + 1.82e-9 n²
        ((1, 30, 63, 64), "over 180,000"),  # the fit reaches the budget earlier, but no measured size does
        ((60, 30, 30, 63), "over 1.8 million"),
    ],
)
def test_measured_sizes_override_the_fit_where_a_budget_is_reached(make_page, values, expected):
    found = [
        Point("rest", "memory", "MB", "destinations", x, [float(value)])
        for x, value in zip(SIZES, values, strict=True)
    ]
    row = table_rows(make_page(before=found), "memory of all")[0]
    assert row[5].removesuffix(", **grows worse than linearly**") == f"{expected} `destinations`"


def test_a_flat_series_is_marked_flat_and_extrapolated_as_flat(make_page):
    random_source = random.Random(3)
    found = [
        Point(
            "change",
            "processor",
            "ms",
            "destinations",
            x,
            [random_source.uniform(0.9, 1.1) for _ in range(3)],
        )
        for x in SIZES
    ]
    text = make_page(before=found)
    assert table_rows(page_section(text, "Slopes"), "`time`")[0][7].endswith(", flat")
    assert 0.95 < float(table_rows(text, "time of a fleet ten")[0][2].split()[0]) < 1.05


def test_slopes_show_range_points_residuals_curve_spread_and_commit(make_page):
    (row,) = table_rows(page_section(make_page(before=SQUARE), "Slopes"), "`time`")
    assert row[1:4] == ["change: processor, ms", "2,000 to 180,000 destinations", "4 x 3"]
    assert row[7:] == ["0.1 + 1e-09 n²", "2%", "before: the before one, abc1234"]
    assert float(row[4].strip("%")) > 10 > 2 > float(row[6].strip("%"))


def test_too_few_points_give_no_slope_but_keep_measured_values(make_page):
    text = make_page(before=MEMORY[-1:] + SQUARE[:3])
    assert table_rows(text, "memory of all")[0][2:7] == [
        "580 MB",
        "64 MB (target)",
        "**9.06 times over**",
        "too few points",
        "measured (`before`)",
    ]
    assert table_rows(text, "time of a change")[0][2] == "not measured"
    assert "too few points of `time`: 3 over a factor of 30; wanted are 4 over 20" in text
    assert table_rows(page_section(text, "Slopes"), "`time`")[0][7].startswith("too few points: 3 over")


def test_a_point_without_values_is_a_wall_and_nothing_is_extrapolated_past_it(make_page):
    wall = Point("rest", "served", "", "destinations", 90_000, note="it | ended")
    text = make_page(before=[*MEMORY[:3], *points("rest", "memory", "MB", lambda x: x, [200.0]), wall])
    assert table_rows(text, "memory of all")[0][2:7:4] == [
        "not measured",
        "none at 90,000 destinations, see the walls",
    ]
    assert table_rows(page_section(text, "Walls"), "before")[0][1:] == [
        "rest: served",
        "90,000 destinations",
        "none",
        "it / ended",
    ]
    none = make_page(before=[wall], after=[])
    assert table_rows(page_section(none, "Slopes"), "`memory`")[0][2] == "none, see the walls"


def test_a_value_assumed_to_stay_the_same_is_not_used_past_a_wall_either(make_page):
    text = make_page(before=[*SQUARE, Point("change", "served", "", "destinations", 200_000, note="ended")])
    assert table_rows(text, "time at the figure of each")[0][2:7:4] == [
        "not measured",
        "none at 200,000 destinations, see the walls",
    ]
    assert table_rows(text, "time of a change")[0][2] == "65 ms"


def test_a_series_with_only_walls_says_so_at_any_size(make_page):
    text = make_page(before=[Point("rest", "served", "", "destinations", 500_000, note="ended")])
    assert table_rows(text, "memory of all")[0][6] == "none at 500,000 destinations, see the walls"


def test_a_failed_run_does_not_hide_values_of_other_runs(make_page):
    text = make_page(before=[*MEMORY, Point("rest", "failed", "", "destinations", 180_000, note="run 2")])
    assert table_rows(text, "memory of all")[0][2] == "580 MB"


def test_equal_walls_of_several_scenarios_share_one_row(make_page):
    walls = [Point(name, "served", "", "destinations", 20_000, note="ended") for name in ("rest", "change")]
    assert table_rows(page_section(make_page(before=walls), "Walls"), "before")[0][1:] == [
        "rest, change: served",
        "20,000 destinations",
        "none",
        "ended",
    ]


def test_a_value_is_marked_by_its_farthest_extrapolation(make_page, tmp_path):
    make_page(before=SQUARE, after=MEMORY)
    (tmp_path / capacity_page.ROLES).write_text(
        TOML.replace('time(destinations) * 2"', 'memory(destinations) + time(destinations * 3)"')
    )
    assert table_rows(capacity_page.page(tmp_path), "time of a change")[0][6] == (
        "arithmetic on extrapolated, 3 times past the last point of `time` (`after`, `before`)"
    )


def test_a_size_with_a_rounding_error_counts_as_the_measured_one(make_page, tmp_path):
    size = 0.1 + 0.2  # 0.30000000000000004
    make_page(before=[Point("rest", "memory", "MB", "destinations", x, [x]) for x in (0.3, 3.0, 30.0, 300.0)])
    (tmp_path / capacity_page.ROLES).write_text(TOML.replace("value = 180000", f"value = {size!r}"))
    assert table_rows(capacity_page.page(tmp_path), "memory of all")[0][6] == "measured (`before`)"


def test_points_of_a_search_for_a_wall_are_listed_among_the_walls(make_page):
    found = Point("walls", "delivered", "texts", "highest number", 65_536, [1.0], "of 2")
    assert table_rows(page_section(make_page(before=[found]), "Walls"), "before")[0][1:] == [
        "walls: delivered",
        "65,536 highest number",
        "1 texts",
        "of 2",
    ]


def test_a_budget_from_results_is_marked_measured_or_not(make_page, tmp_path):
    toml = TOML.replace('budget = "limit"', 'budget = "memory(2000)"').replace("value = 64", "value = 1")
    make_page()
    (tmp_path / capacity_page.ROLES).write_text(toml)
    row = table_rows(capacity_page.page(tmp_path), "memory of all")[0]
    assert (row[3], row[6]) == (
        "not measured (target)",
        "no points of `memory` yet; budget: no points of `memory` yet",
    )
    make_page(before=MEMORY)
    (tmp_path / capacity_page.ROLES).write_text(toml)
    assert table_rows(capacity_page.page(tmp_path), "memory of all")[0][3:5] == [
        "46 MB (target)",
        "**12.6 times over**",
    ]


def test_a_series_is_taken_from_the_first_file_that_has_it(make_page):
    text = make_page(before=MEMORY, after=points("rest", "memory", "MB", lambda x: 30.0))
    assert table_rows(text, "memory of all")[0][2:5] == ["30 MB", "64 MB (target)", "0.469 of it"]
    assert table_rows(page_section(text, "Slopes"), "`memory`")[0][9] == "after: the after one, abc1234"


def test_before_and_after_are_shown_side_by_side(make_page):
    refused = Point("rest", "served", "", "destinations", 2000, note="it refused")
    small = Point("rest", "memory", "MB", "destinations", 180_000, [58.0])
    text = page_section(make_page(before=MEMORY, after=[refused, small]), "Before and after")
    rows = table_rows(text, "memory at rest")
    assert rows[0][1:6] == ["2,000 destinations", "46 (45.5 to 46.5)", "none, see the walls", "", ""]
    assert rows[1][3] == "not measured"
    assert rows[-1][1:] == ["180,000 destinations", "580 (574 to 586)", "58", "MB", "0.1", "before", "64 MB"]
    assert "- before, before: the before one, abc1234\n- after, after: the after one, abc1234\n" in text


def test_a_series_is_compared_with_the_first_earlier_file_that_has_values_of_it(make_page):
    lifted = points("rest", "memory", "MB", lambda x: 50.0)
    text = make_page(lifted=lifted, before=MEMORY, after=MEMORY)
    row = table_rows(page_section(text, "Before and after"), "memory at rest")[0]
    assert (row[2], row[6]) == ("50 (49.5 to 50.5)", "lifted")
    for other in SQUARE, [Point("rest", "served", "", "destinations", 2000, note="it refused")]:
        text = make_page(lifted=other, before=MEMORY, after=MEMORY)
        assert table_rows(page_section(text, "Before and after"), "memory at rest")[0][6] == "before"


def test_a_missing_side_of_a_comparison_is_marked_not_measured(make_page):
    text = page_section(make_page(before=MEMORY), "Before and after")
    assert table_rows(text, "memory at rest")[0][2:4] == ["46 (45.5 to 46.5)", "not measured"]
    assert table_rows(page_section(make_page(), "Before and after"), "what")[0][0] == "what"


def test_hollow_and_real_relays_are_compared_where_both_were_measured(make_page):
    found = [
        Point(f"down {kind}", "trials", "1/s", "relays", 7, [value, value + 1.0])
        for kind, value in (("hollow", 2.0), ("real", 3.0))
    ]
    alone = [
        Point("cold hollow", "trials", "1/s", "relays", 7, [1.0]),
        Point("cold real", "trials", "1/s", "relays", 8, [1.0]),
    ]
    text = page_section(make_page(hollow=found + alone), "Hollow relays beside real ones")
    assert table_rows(text, "")[2:] == [
        ["down: trials", "7 relays", "2.5 (2 to 3)", "3.5 (3 to 4)", "1/s", "hollow"]
    ]
    assert page_section(make_page(hollow=alone), "Hollow relays beside real ones").endswith("not measured\n")


def test_missing_capacity_is_ranked_by_its_factor_without_rows_set_aside(make_page):
    text = page_section(make_page(before=MEMORY + SQUARE), "What is missing next")
    rows = [line.split(" | ")[1:5] for line in text.splitlines() if re.match(r"\| \d", line)]
    assert rows == [
        ["650", "Relay: time of a change", "65 ms", "0.1 ms (aim)"],
        ["25.7", "Relay: rows of each", "257 rows", "10 rows (aim)"],
        ["9.06", "Relay: memory of all", "580 MB", "64 MB (target)"],
    ]
    assert "ten times as large" not in text
    assert "- Relay: time at the figure of each, 32.5 ms" in text


def test_an_unknown_name_in_an_expression_is_bad_usage(tmp_path):
    (tmp_path / capacity_page.ROLES).write_text(TOML.replace('memory(destinations)"', 'memory(sizes)"'))
    save(tmp_path / "before.json", Results("s", "c", "abc1234", "2026", "m", MEMORY))
    result = CliRunner().invoke(main, ["lab", "scale", "page", "--folder", str(tmp_path)])
    assert (result.exit_code, "sizes" in result.output) == (2, True)


@pytest.mark.parametrize(
    "word",
    [
        "__import__('os')",
        "relays.real",
        "relays if relays else 1",
        "relays and 1",
        "'a' * 3",
        "max(*relays)",
        "min(relays, key=relays)",
        "memory(1, 2)",
    ],
)
def test_an_expression_that_is_more_than_arithmetic_is_rejected(word):
    with pytest.raises(ValueError, match="not a figure"):
        Book(msgspec.toml.decode(TOML, type=Roles), {}).work_out(word)
