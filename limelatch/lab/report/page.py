"""Self-contained HTML pages for a run, a comparison or a sweep (jinja2)."""

from __future__ import annotations

from jinja2 import Environment

from limelatch.lab.figures import Figures

STYLE = """
body { font: 14px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 64em; color: #202020; padding: 0
1em } h1 { font-size: 1.5em } h2 { font-size: 1.1em; margin-top: 1.8em }
table { border-collapse: collapse; margin: .5em 0 } td, th { padding: .15em .8em; text-align: right }
th { border-bottom: 1px solid #b0b0b0; font-weight: 600 } td:first-child, th:first-child { text-align: left }
.good { color: #2d7a4d } .bad { color: #b03030; font-weight: 600 } .dim { color: #707070 }
pre { background: #f4f4f4; padding: .8em; overflow-x: auto; font-size: 12px } svg { max-width: 100%; height:
auto }
"""
HEAD = """<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>{{ style }}</style></head><body><h1>{{ title }}</h1>"""
RUN_PAGE = (
    HEAD
    + """
<p>{{ about }}</p>
<p class="dim">stage {{ figures.stage }}, {{ figures.subject }}, seed {{ figures.seed }}, build {{
figures.build }}</p> {% if not figures.usable %}<p class="bad">This run can't be used: {{ unusable }}</p>{%
endif %} <table><tr><th>rule</th><th>breaches</th></tr>
{% for rule, count in figures.breaches.items() %}
<tr><td>{{ rule }}</td><td class="{{ 'bad' if count else 'good' }}">{{ count or 'kept' }}</td></tr>{% endfor
%}</table> <table><tr><th>figure</th><th></th></tr>
{% for name, value in rows %}<tr><td>{{ name }}</td><td>{{ value }}</td></tr>{% endfor %}</table>
<h2>Revenue by product and customer</h2>
<table><tr><th></th><th>texts</th><th>asked</th><th>earned</th><th>service</th></tr>
{% for part in figures.products + figures.customers %}<tr><td>{{ part.name }}</td><td>{{ part.texts }}</td>
<td>{{ '%.0f' % part.asked }}</td><td>{{ '%.0f' % part.earned }}</td><td>{{ '%.3f' % part.service }}</td></tr>
{% endfor %}</table>
{% for title, plot in plots %}<h2>{{ title }}</h2>{{ plot }}{% endfor %}
{% if figures.breach_lines %}<h2>Breaches</h2><pre>{{ figures.breach_lines | join('\n') | e }}</pre>{% endif
%} <h2>Scenario</h2><pre>{{ text | e }}</pre></body></html>
"""
)
COMPARISON = (
    HEAD
    + """
<p>{{ verdict }}</p><p class="dim">A: {{ a }}; B: {{ b }}; {{ pairs }} paired seeds a scenario, intervals of
95 %</p> <table><tr><th>scenario, figure</th><th>A</th><th>B</th><th>B less
A</th><th>interval</th><th></th></tr> {% for row in rows %}<tr><td>{{ row.name }}</td><td>{{ '%.4g' % row.a
}}</td><td>{{ '%.4g' % row.b }}</td> <td>{{ '%+.4g' % row.mean }}</td><td>{{ '%+.4g' % row.low }} .. {{
'%+.4g' % row.high }}</td> <td class="{{ 'good' if row.outcome == 'better' else 'bad' if row.outcome ==
'worse' else 'dim' }}">{{ row.outcome }}</td></tr> {% endfor %}</table>{{ plot }}</body></html>
"""
)
SWEEP = (
    HEAD
    + """
<p class="dim">{{ about }}</p>{% for title, plot in plots %}<h2>{{ title }}</h2>{{ plot }}{% endfor %}
<table><tr><th>{{ label }}</th>{% for name in names %}<th>{{ name }}</th>{% endfor %}</tr>
{% for value, cells in rows %}<tr><td>{{ value }}</td>{% for cell in cells %}<td>{{ cell }}</td>{% endfor
%}</tr> {% endfor %}</table></body></html>
"""
)
ENVIRONMENT = Environment(autoescape=False, trim_blocks=True)


def render(template: str, **values: object) -> str:
    """The page of a template with these values."""
    return ENVIRONMENT.from_string(template).render(style=STYLE, **values)


def rows_of(figures: Figures) -> list[tuple[str, str]]:
    """The labels and formatted values of a run's figures, for a page or a terminal."""
    rows = [
        ("score", f"{figures.score:.3f}"),
        ("service (revenue earned of asked)", f"{figures.service:.3f}"),
        ("worst ten seconds", f"{figures.worst_window:.3f} from {figures.worst_window_at:.0f} s"),
        ("worst product, customer", f"{figures.worst_product:.3f}, {figures.worst_customer:.3f}"),
        ("delivered within the SLA time", f"{figures.sla_share:.1%}"),
        ("until delivery", ", ".join(f"{name} {ms:.0f} ms" for name, ms in figures.latency.items())),
        (
            "texts",
            f"{figures.texts}: "
            + ", ".join(f"{count} {end}" for end, count in sorted(figures.ends.items(), key=lambda e: -e[1])),
        ),
        (
            "calls",
            f"{figures.calls}, {figures.calls_a_text:.2f} a text: "
            + ", ".join(
                f"{count} {fate}" for fate, count in sorted(figures.fates.items(), key=lambda e: -e[1])
            ),
        ),
        ("effects beyond a text's first", str(figures.doubles)),
    ]
    if figures.memory:
        rows.append(("largest relay", f"{figures.memory / 1e6:.1f} MB, {figures.descriptors} descriptors"))
        rows.append(("CPU a text", f"{figures.cpu_a_text:.0f} us, starts counted"))
    if figures.late:
        rows.append(
            (
                "late at the 99th percentile",
                ", ".join(f"{who} {ms:.1f} ms" for who, ms in figures.late.items()),
            )
        )
    return rows


def unusable(figures: Figures) -> str:
    """Why the figures of a run cannot be used."""
    if not figures.whole:
        return "it was interrupted"
    late = ", ".join(f"{who} {ms:.1f} ms" for who, ms in figures.late.items())
    return f"the stage itself was late (99th percentile: {late})"


def run_page(figures: Figures, about: str, text: str) -> str:
    """The HTML page of one run; `text` is its scenario."""
    titled_plots = [(title, plot) for title, _, plot in pictures(figures)]
    return render(
        RUN_PAGE,
        title=f"limelatch: {figures.scenario}",
        about=about,
        figures=figures,
        rows=rows_of(figures),
        plots=titled_plots,
        text=text,
        unusable=unusable(figures),
    )


def pictures(figures: Figures) -> list[tuple[str, str, str]]:
    """Title, file name and SVG of each plot of a run."""
    from limelatch.lab.report import plots

    return [
        ("Revenue over time", "revenue", plots.revenue(figures)),
        ("Latency", "latency", plots.latency(figures)),
        ("Calls by outcome", "calls", plots.calls(figures)),
        ("Conditions of hosts and relays, and what the relays believed", "timeline", plots.timeline(figures)),
        ("Held", "held", plots.held_texts(figures)),
    ]
