package commander

// defaultCommands returns every sub-command, in the order of the help.
func (commander *Commander) defaultCommands() []command {
	return []command{
		commander.serveCommand(),
		commander.platformCommand(),
		commander.checkCommand(),
		commander.rulesCommand(),
		commander.routesCommand(),
		commander.statusCommand(),
		commander.drainCommand(),
		commander.heldOffCommand(),
		commander.dutiesCommand(),
		commander.announcedCommand(),
		commander.burnCommand(),
		commander.demoCommand(),
		commander.loadCommand(),
		commander.standinCommand(),
		commander.versionCommand(),
	}
}
