#include "adapters/settings_help.h"

#include "adapters/setting.h"

#include <stdio.h>
#include <string.h>

static char *setting_ratio_text(const struct setting *setting,
				struct settings *settings)
{
	return g_strdup_printf(
		"%.2f",
		(double)*(int64_t *)setting_field(setting, settings) / 100);
}

static char *setting_default(const struct setting *setting,
			     struct settings *settings)
{
	switch (setting->need) {
	case NEED_ALWAYS:
		return g_strdup("required");
	case NEED_WITHOUT_GATEWAY:
		return g_strdup("required without a gateway");
	case NEED_WITHOUT_STORE:
		return g_strdup("required without gateway.store_address");
	case NEED_NOT:
		break;
	}
	if (setting->type == SETTING_CHOICE && setting_keeps_text(setting))
		return g_strdup(settings->log_level);
	if (setting->type == SETTING_CHOICE)
		return g_strdup(setting->choices[*(int *)setting_field(
			setting, settings)]);
	if (setting->type == SETTING_ADDRESS_LIST)
		return g_strdup("[]");
	if (setting_is_text(setting))
		return g_strdup("none");
	if (setting->type == SETTING_RATIO)
		return setting_ratio_text(setting, settings);
	return g_strdup_printf("%" G_GINT64_FORMAT,
			       setting_get_number(setting, settings));
}

/* Prints every key with its range, its default and what it is for. */
void settings_print_help(void)
{
	struct settings *settings = settings_create();
	const char *section = "";

	for (size_t i = 0; i < setting_count(); i++) {
		const struct setting *setting = setting_at(i);
		char *expectation = setting_expectation(setting);
		char *preset = setting_default(setting, settings);

		if (strcmp(section, setting->section) != 0) {
			section = setting->section;
			printf("%s[%s]\n", i ? "\n" : "", section);
		}
		printf("  %-24s %s (%s; default: %s)\n", setting->key,
		       setting->help, expectation, preset);
		g_free(expectation);
		g_free(preset);
	}
	settings_destroy(settings);
}
