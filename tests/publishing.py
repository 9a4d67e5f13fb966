"""Helper that publishes a template and a customer to a running fleet."""

import json


async def publish_school(fleet, directory, template):
    """Publish `template` and customer ``school``, and wait until it is in force everywhere."""
    template_path = directory / "template.json"
    template_path.write_text(json.dumps(template))
    customer = {
        "name": "school",
        "version": 1,
        "template": template["name"],
        "template_version": template["version"],
    }
    customer_path = directory / "customer.json"
    customer_path.write_text(json.dumps(customer))
    for arguments in (
        ("template", "publish", str(template_path)),
        ("customer", "create", str(customer_path)),
    ):
        result = await fleet.run_cli(*arguments)
        assert result.returncode == 0, result.stderr
    await fleet.wait_for_customer("school")
