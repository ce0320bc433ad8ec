"""Measured figures, as scripts/bench.sh prints them, and their notation."""


class Figures:
    """Measured figures, looked up by name and by the sizes beside them."""

    def __init__(self, text):
        self.rows = []
        self.runs = []
        for line in text.splitlines():
            if line.startswith("# "):
                self.runs.append(line[2:])
            elif line.startswith("figure="):
                self.rows.append(dict(part.split("=", 1)
                                      for part in line.split() if "=" in part))

    def all(self, name, **sizes):
        return [row for row in self.rows if row["figure"] == name
                and all(row.get(k) == str(v) for k, v in sizes.items())]

    def value(self, name, **sizes):
        """The figure's value; None if it was not measured."""
        found = self.all(name, **sizes)
        return float(found[-1]["value"]) if found else None

    def largest(self, name, key, **sizes):
        """The row measured at the greatest size."""
        rows = self.all(name, **sizes)
        return max(rows, key=lambda row: float(row[key])) if rows else None


def number(value):
    if value is None:
        return "not measured"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(out) + "\n"


def total(rows):
    """The sum of (label, value, ...) rows; what was not measured is left out."""
    return sum(row[1] for row in rows if row[1] is not None)
