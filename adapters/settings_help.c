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
	switch (setting->required) {
	case REQUIRED_ALWAYS:
		return g_strdup("required");
	case REQUIRED_WITHOUT_GATEWAY:
		return g_strdup("required without a gateway");
	case REQUIRED_WITHOUT_STORE:
		return g_strdup("required without gateway.store_address");
	case REQUIRED_NEVER:
		break;
	}
	if (setting->type == SETTING_CHOICE && setting_stores_text(setting))
		return g_strdup(settings->log_level);
	if (setting->type == SETTING_CHOICE)
		return g_strdup(setting->choices[*(int *)setting_field(
			setting, settings)]);
	if (setting_is_list(setting))
		return g_strdup("[]");
	if (setting_is_text(setting))
		return g_strdup("none");
	if (setting->type == SETTING_RATIO)
		return setting_ratio_text(setting, settings);
	return g_strdup_printf("%" G_GINT64_FORMAT,
			       setting_get_number(setting, settings));
}

/* Prints every key with its purpose, accepted values and default. */
void settings_print_help(void)
{
	struct settings *settings = settings_create();
	const char *section = "";

	for (size_t i = 0; i < setting_count(); i++) {
		const struct setting *setting = setting_at(i);
		char *accepted_values = setting_accepted_values(setting);
		char *default_text = setting_default(setting, settings);

		if (strcmp(section, setting->section) != 0) {
			section = setting->section;
			printf("%s[%s]\n", i ? "\n" : "", section);
		}
		printf("  %-24s %s (%s; default: %s)\n", setting->key,
		       setting->help, accepted_values, default_text);
		g_free(accepted_values);
		g_free(default_text);
	}
	settings_destroy(settings);
}
